#include "hornbeamgate/runtime/http/http_client.hpp"

#include <libsoup/soup.h>

#include <charconv>

namespace hornbeamgate {

namespace {

    constexpr std::size_t kCallsPerSession = 32;
    constexpr int kMaxConnections = 64;
    constexpr int kIdleTimeoutSeconds = 30;
    constexpr std::size_t kReadBytes = std::size_t { 16 } * 1024;

    /// Whether the error implies that no connection was established, so that nothing was sent.
    bool provesNothingSent(const GError& error)
    {
        const bool refused = g_error_matches(&error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED);
        const bool unreachable = g_error_matches(&error, G_IO_ERROR, G_IO_ERROR_HOST_UNREACHABLE)
            || g_error_matches(&error, G_IO_ERROR, G_IO_ERROR_NETWORK_UNREACHABLE);
        return refused || unreachable;
    }

    GObjectPtr<SoupMessage> makeMessage(const HttpRequest& request)
    {
        if (!g_hostname_is_ip_address(request.address.ip.c_str()))
            return {};
        const auto uri = "http://" + request.address.text() + request.target;
        GObjectPtr<SoupMessage> message(soup_message_new(request.method.c_str(), uri.c_str()));
        if (!message)
            return message;
        auto* headers = soup_message_get_request_headers(message.get());
        for (const auto& header : request.headers)
            soup_message_headers_replace(headers, header.name.c_str(), header.value.c_str());
        if (!request.body.empty() || !request.contentType.empty()) {
            const GBytesPtr body(g_bytes_new(request.body.data(), request.body.size()));
            soup_message_set_request_body_from_bytes(message.get(), request.contentType.c_str(), body.get());
        }
        soup_message_add_flags(message.get(), SOUP_MESSAGE_NO_REDIRECT);
        if (request.newConnection)
            soup_message_add_flags(message.get(), SOUP_MESSAGE_NEW_CONNECTION);
        return message;
    }

} // namespace

std::uint16_t HttpResponseHead::status() const
{
    return static_cast<std::uint16_t>(soup_message_get_status(m_message));
}

std::string HttpResponseHead::header(const char* name) const
{
    const char* value = soup_message_headers_get_one(soup_message_get_response_headers(m_message), name);
    return value ? value : "";
}

std::uint64_t HttpResponseHead::number(const char* name) const
{
    const auto text = header(name);
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

HttpCall::HttpCall(GObjectPtr<SoupMessage> message, HttpCallObserver& observer, std::shared_ptr<std::size_t> callsOfSession)
    : m_observer(&observer)
    , m_callsOfSession(std::move(callsOfSession))
    , m_message(std::move(message))
    , m_cancellable(g_cancellable_new())
{
}

HttpCall::~HttpCall()
{
    --*m_callsOfSession;
    g_cancellable_cancel(m_cancellable.get());
}

void HttpCall::start(SoupSession* session)
{
    soup_session_send_async(session, m_message.get(), G_PRIORITY_DEFAULT, m_cancellable.get(), onSent, makeReference());
}

HttpCall* HttpCall::takeReference(gpointer reference)
{
    const std::unique_ptr<Reference> taken(static_cast<Reference*>(reference));
    return taken->alive.expired() ? nullptr : taken->call;
}

void HttpCall::onSent(GObject* session, GAsyncResult* result, gpointer data)
{
    GError* rawError = nullptr;
    GObjectPtr<GInputStream> stream(soup_session_send_finish(SOUP_SESSION(session), result, &rawError));
    const GErrorPtr error(rawError);
    auto* call = takeReference(data);
    if (!call)
        return;
    if (error) {
        call->fail(*error);
        return;
    }
    const auto alive = call->m_liveness.watch();
    call->m_stream = std::move(stream);
    call->m_observer->responseStarted(HttpResponseHead(call->m_message.get()));
    if (!alive.expired())
        call->read();
}

void HttpCall::read()
{
    if (m_reading || m_paused || !m_stream)
        return;
    m_reading = true;
    g_input_stream_read_bytes_async(m_stream.get(), kReadBytes, G_PRIORITY_DEFAULT, m_cancellable.get(), onRead, makeReference());
}

void HttpCall::onRead(GObject* stream, GAsyncResult* result, gpointer data)
{
    GError* rawError = nullptr;
    const GBytesPtr bytes(g_input_stream_read_bytes_finish(G_INPUT_STREAM(stream), result, &rawError));
    const GErrorPtr error(rawError);
    auto* call = takeReference(data);
    if (!call)
        return;
    call->m_reading = false;
    if (error) {
        call->fail(*error);
        return;
    }
    gsize size = 0;
    const auto* octets = static_cast<const char*>(g_bytes_get_data(bytes.get(), &size));
    if (size == 0) {
        call->m_observer->responseCompleted();
        return;
    }
    const auto alive = call->m_liveness.watch();
    call->m_observer->dataReceived({ octets, size });
    if (!alive.expired())
        call->read();
}

void HttpCall::resume()
{
    m_paused = false;
    read();
}

void HttpCall::fail(const GError& error)
{
    m_observer->callFailed({ provesNothingSent(error) ? HttpErrorKind::NotConnected : HttpErrorKind::ResponseLost, error.message });
}

HttpClient::HttpClient() = default;

HttpClient::~HttpClient()
{
    for (const auto& entry : m_sessions)
        soup_session_abort(entry.session.get());
}

HttpClient::Session& HttpClient::sessionWithRoom()
{
    for (auto& entry : m_sessions) {
        if (*entry.calls < kCallsPerSession)
            return entry;
    }
    GObjectPtr<SoupSession> session(soup_session_new_with_options("max-conns", kMaxConnections, "max-conns-per-host", kMaxConnections,
        "proxy-resolver", nullptr, "timeout", 0, "idle-timeout", kIdleTimeoutSeconds, nullptr));
    m_sessions.push_back({ std::move(session), std::make_shared<std::size_t>(0) });
    return m_sessions.back();
}

std::unique_ptr<HttpCall> HttpClient::start(const HttpRequest& request, HttpCallObserver& observer)
{
    auto& entry = sessionWithRoom();
    ++*entry.calls;
    std::unique_ptr<HttpCall> call(new HttpCall(makeMessage(request), observer, entry.calls));
    if (call->m_message) {
        call->start(entry.session.get());
        return call;
    }
    post([target = call.get(), alive = call->m_liveness.watch()] {
        if (!alive.expired())
            target->m_observer->callFailed({ HttpErrorKind::NotConnected, "the request's address or target is malformed" });
    });
    return call;
}

} // namespace hornbeamgate
