#include "common/http_server.hpp"

#include <libsoup/soup.h>
#include <nlohmann/json.hpp>

#include <charconv>

namespace hornbeamgate::standins {

struct Exchange::Impl {
    SoupServerMessage* message = nullptr;
    GHashTable* query = nullptr;
    gulong finishedHandler = 0;
    bool finished = false;
    bool answered = false;
    bool answerLost = false;
};

struct HttpServer::Impl {
    SoupServer* server = nullptr;
    Handler handler;
    std::uint64_t requests = 0;
    std::uint64_t withAuthorization = 0;

    void serve(ExchangePtr exchange);
};

namespace {

    constexpr int kListenBacklog = 4096;

    void markFinished(SoupServerMessage*, gpointer data)
    {
        static_cast<Exchange::Impl*>(data)->finished = true;
    }

    void dispatch(SoupServer*, SoupServerMessage* message, const char*, GHashTable* query, gpointer data)
    {
        auto impl = std::make_unique<Exchange::Impl>();
        impl->message = SOUP_SERVER_MESSAGE(g_object_ref(message));
        impl->query = query ? g_hash_table_ref(query) : nullptr;
        impl->finishedHandler = g_signal_connect(message, "finished", G_CALLBACK(markFinished), impl.get());
        soup_server_message_pause(message);
        static_cast<HttpServer::Impl*>(data)->handler(std::make_unique<Exchange>(std::move(impl)));
    }

    /// Socket that listens on 127.0.0.1:`port`; null on failure. libsoup's own listener queues too few connections for a load run.
    GSocket* listenOnLoopback(std::uint16_t port, GError** error)
    {
        GSocket* socket = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error);
        if (!socket)
            return nullptr;
        g_socket_set_listen_backlog(socket, kListenBacklog);
        GSocketAddress* address = g_inet_socket_address_new_from_string("127.0.0.1", port);
        const bool listening = g_socket_bind(socket, address, TRUE, error) != 0 && g_socket_listen(socket, error) != 0;
        g_object_unref(address);
        if (!listening)
            g_clear_object(&socket);
        return socket;
    }

} // namespace

void HttpServer::Impl::serve(ExchangePtr exchange)
{
    if (exchange->path() == "/seen") {
        exchange->answer(SOUP_STATUS_OK, { { "requests", requests }, { "with_authorization", withAuthorization } });
        return;
    }
    ++requests;
    if (exchange->header("Authorization"))
        ++withAuthorization;
    handler(std::move(exchange));
}

Exchange::Exchange(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

Exchange::~Exchange()
{
    if (!m_impl->answered)
        answerError(SOUP_STATUS_INTERNAL_SERVER_ERROR, "internal", "the stand-in gave no answer");
    g_signal_handler_disconnect(m_impl->message, m_impl->finishedHandler);
    if (m_impl->query)
        g_hash_table_unref(m_impl->query);
    g_object_unref(m_impl->message);
}

std::string Exchange::method() const
{
    return soup_server_message_get_method(m_impl->message);
}

std::string Exchange::path() const
{
    return g_uri_get_path(soup_server_message_get_uri(m_impl->message));
}

std::string Exchange::body() const
{
    const SoupMessageBody* body = soup_server_message_get_request_body(m_impl->message);
    if (!body->data)
        return {};
    return { body->data, static_cast<std::size_t>(body->length) };
}

std::optional<std::string> Exchange::header(const char* name) const
{
    const char* value = soup_message_headers_get_one(soup_server_message_get_request_headers(m_impl->message), name);
    if (!value)
        return std::nullopt;
    return value;
}

std::optional<std::string> Exchange::queryValue(const char* name) const
{
    const void* value = m_impl->query ? g_hash_table_lookup(m_impl->query, name) : nullptr;
    if (!value)
        return std::nullopt;
    return static_cast<const char*>(value);
}

std::uint64_t Exchange::queryNumber(const char* name, std::uint64_t fallback) const
{
    const auto text = queryValue(name);
    std::uint64_t number = fallback;
    if (text)
        std::from_chars(text->data(), text->data() + text->size(), number);
    return number;
}

void Exchange::setHeader(const char* name, const std::string& value)
{
    soup_message_headers_replace(soup_server_message_get_response_headers(m_impl->message), name, value.c_str());
}

void Exchange::answer(unsigned status, const nlohmann::json& body)
{
    answer(status, "application/json", body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void Exchange::answer(unsigned status, const std::string& contentType, std::string_view body)
{
    if (m_impl->answerLost) {
        drop();
        return;
    }
    m_impl->answered = true;
    if (m_impl->finished)
        return;
    soup_server_message_set_status(m_impl->message, status, nullptr);
    soup_server_message_set_response(m_impl->message, contentType.c_str(), SOUP_MEMORY_COPY, body.data(), body.size());
    soup_server_message_unpause(m_impl->message);
}

void Exchange::answerError(unsigned status, const std::string& code, const std::string& message)
{
    answer(status, nlohmann::json { { "error", { { "code", code }, { "message", message } } } });
}

void Exchange::startStream(const std::string& contentType)
{
    m_impl->answered = true;
    if (m_impl->finished)
        return;
    SoupMessageHeaders* headers = soup_server_message_get_response_headers(m_impl->message);
    soup_message_headers_set_content_type(headers, contentType.c_str(), nullptr);
    soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
    soup_message_body_set_accumulate(soup_server_message_get_response_body(m_impl->message), FALSE);
    soup_server_message_set_status(m_impl->message, SOUP_STATUS_OK, nullptr);
    soup_server_message_unpause(m_impl->message);
}

void Exchange::write(std::string_view piece)
{
    if (m_impl->finished)
        return;
    SoupMessageBody* body = soup_server_message_get_response_body(m_impl->message);
    soup_message_body_append(body, SOUP_MEMORY_COPY, piece.data(), piece.size());
    soup_server_message_unpause(m_impl->message);
}

void Exchange::finishStream()
{
    if (m_impl->finished)
        return;
    soup_message_body_complete(soup_server_message_get_response_body(m_impl->message));
    soup_server_message_unpause(m_impl->message);
}

void Exchange::drop()
{
    m_impl->answered = true;
    if (m_impl->finished)
        return;
    GSocket* socket = soup_server_message_get_socket(m_impl->message);
    if (socket)
        g_socket_shutdown(socket, TRUE, TRUE, nullptr);
    soup_server_message_set_status(m_impl->message, SOUP_STATUS_INTERNAL_SERVER_ERROR, nullptr);
    soup_server_message_unpause(m_impl->message);
}

void Exchange::fallSilent()
{
    m_impl->answered = true;
}

void Exchange::loseAnswer()
{
    m_impl->answerLost = true;
}

bool Exchange::finished() const
{
    return m_impl->finished;
}

Result<HttpServer, std::string> HttpServer::create(std::uint16_t port, Handler handler)
{
    auto impl = std::make_unique<Impl>();
    impl->handler = std::move(handler);
    impl->server = soup_server_new("server-header", "standin", nullptr);
    soup_server_add_handler(impl->server, nullptr, dispatch, impl.get(), nullptr);
    HttpServer server(std::move(impl));

    GError* error = nullptr;
    GSocket* socket = listenOnLoopback(port, &error);
    const bool listening = socket
        && soup_server_listen_socket(server.m_impl->server, socket, SoupServerListenOptions(0), &error) != 0;
    g_clear_object(&socket);
    if (!listening) {
        std::string reason = error->message;
        g_error_free(error);
        return failure(std::move(reason));
    }
    return server;
}

HttpServer::HttpServer(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

HttpServer::HttpServer(HttpServer&&) noexcept = default;
HttpServer& HttpServer::operator=(HttpServer&&) noexcept = default;

HttpServer::~HttpServer()
{
    if (m_impl)
        g_object_unref(m_impl->server);
}

std::uint16_t HttpServer::port() const
{
    GSList* uris = soup_server_get_uris(m_impl->server);
    const int port = uris ? g_uri_get_port(static_cast<GUri*>(uris->data)) : 0;
    g_slist_free_full(uris, [](gpointer uri) { g_uri_unref(static_cast<GUri*>(uri)); });
    return static_cast<std::uint16_t>(port);
}

} // namespace hornbeamgate::standins
