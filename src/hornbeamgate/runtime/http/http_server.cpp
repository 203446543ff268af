#include "hornbeamgate/runtime/http/http_server.hpp"

#include <libsoup/soup.h>

#include <sys/socket.h>

#include <algorithm>

namespace hornbeamgate {

namespace {

    constexpr unsigned kInternalServerError = 500;
    constexpr int kListenBacklog = 4096;
    constexpr const char* kTooLargeKey = "hornbeamgate-too-large";
    constexpr const char* kReceivedBytesKey = "hornbeamgate-received";

    using OpenCount = std::shared_ptr<std::size_t>;

    void onResponseSent(SoupServerMessage*, gpointer count)
    {
        --**static_cast<OpenCount*>(count);
    }

    void releaseCount(gpointer count, GClosure*)
    {
        delete static_cast<OpenCount*>(count);
    }

    /// Returns a socket that listens on `address`, or null with `error` set. The listener of libsoup has a backlog of
    /// only ten connections, and beyond that the kernel delays clients by one second.
    GObjectPtr<GSocket> listeningSocket(const SocketAddress& address, GError** error)
    {
        const GObjectPtr<GSocketAddress> wanted(g_inet_socket_address_new_from_string(address.ip.c_str(), address.port));
        if (!wanted) {
            g_set_error(error, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT, "not an IP address: %s", address.ip.c_str());
            return {};
        }
        GObjectPtr<GSocket> socket(g_socket_new(g_socket_address_get_family(wanted.get()), G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error));
        if (!socket)
            return {};
        g_socket_set_listen_backlog(socket.get(), kListenBacklog);
        if (!g_socket_bind(socket.get(), wanted.get(), TRUE, error) || !g_socket_listen(socket.get(), error))
            return {};
        return socket;
    }

    /// Discards a body that exceeds the limit, which bounds the memory per request.
    void onChunk(SoupServerMessage* message, GBytes* chunk, gpointer limit)
    {
        auto* object = G_OBJECT(message);
        const auto received = GPOINTER_TO_SIZE(g_object_get_data(object, kReceivedBytesKey)) + g_bytes_get_size(chunk);
        g_object_set_data(object, kReceivedBytesKey, GSIZE_TO_POINTER(received));
        if (received <= GPOINTER_TO_SIZE(limit))
            return;
        g_object_set_data(object, kTooLargeKey, GINT_TO_POINTER(1));
        auto* body = soup_server_message_get_request_body(message);
        soup_message_body_set_accumulate(body, FALSE);
        soup_message_body_truncate(body);
    }

} // namespace

HttpExchange::HttpExchange(HttpServer& server, SoupServerMessage* message)
    : m_server(&server)
    , m_message(message)
{
    g_object_ref(message);
    soup_server_message_pause(message);
    g_signal_connect(message, "wrote-body-data", G_CALLBACK(onWrote), this);
    g_signal_connect(message, "disconnected", G_CALLBACK(onDisconnected), this);
    g_signal_connect(message, "finished", G_CALLBACK(onFinished), this);
}

HttpExchange::~HttpExchange()
{
    m_onDisconnected = {};
    if (!m_answered && !m_isFinished)
        answer(kInternalServerError, "text/plain", "no answer was given\n");
    g_signal_handlers_disconnect_by_data(m_message.get(), this);
}

std::string HttpExchange::method() const
{
    return soup_server_message_get_method(m_message.get());
}

std::string HttpExchange::path() const
{
    return g_uri_get_path(soup_server_message_get_uri(m_message.get()));
}

std::string HttpExchange::target() const
{
    const char* query = g_uri_get_query(soup_server_message_get_uri(m_message.get()));
    return query ? path() + '?' + query : path();
}

std::string HttpExchange::header(const char* name) const
{
    const char* value = soup_message_headers_get_one(soup_server_message_get_request_headers(m_message.get()), name);
    return value ? value : "";
}

std::string_view HttpExchange::body() const
{
    const auto* body = soup_server_message_get_request_body(m_message.get());
    if (!body->data || body->length <= 0)
        return {};
    return { body->data, static_cast<std::size_t>(body->length) };
}

bool HttpExchange::bodyTooLarge() const
{
    return g_object_get_data(G_OBJECT(m_message.get()), kTooLargeKey) != nullptr;
}

void HttpExchange::releaseBody()
{
    soup_message_body_truncate(soup_server_message_get_request_body(m_message.get()));
}

void HttpExchange::setHeader(const char* name, const std::string& value)
{
    soup_message_headers_replace(soup_server_message_get_response_headers(m_message.get()), name, value.c_str());
}

void HttpExchange::answer(unsigned status, const std::string& contentType, std::string_view body)
{
    m_answered = true;
    if (m_server->m_closing)
        setHeader("Connection", "close");
    soup_server_message_set_status(m_message.get(), status, nullptr);
    soup_server_message_set_response(m_message.get(), contentType.c_str(), SOUP_MEMORY_COPY, body.data(), body.size());
    soup_server_message_unpause(m_message.get());
}

void HttpExchange::startStream(const std::string& contentType)
{
    m_answered = true;
    m_streaming = true;
    if (m_server->m_closing)
        setHeader("Connection", "close");
    soup_server_message_set_status(m_message.get(), SOUP_STATUS_OK, nullptr);
    auto* headers = soup_server_message_get_response_headers(m_message.get());
    soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
    soup_message_headers_replace(headers, "Content-Type", contentType.c_str());
    soup_message_headers_replace(headers, "Cache-Control", "no-store");
    soup_message_body_set_accumulate(soup_server_message_get_response_body(m_message.get()), FALSE);
    soup_server_message_unpause(m_message.get());
}

void HttpExchange::write(std::string_view data)
{
    if (m_isFinished || data.empty())
        return;
    m_unsentBytes += data.size();
    soup_message_body_append(soup_server_message_get_response_body(m_message.get()), SOUP_MEMORY_COPY, data.data(), data.size());
    soup_server_message_unpause(m_message.get());
}

void HttpExchange::finishStream()
{
    if (m_isFinished)
        return;
    soup_message_body_complete(soup_server_message_get_response_body(m_message.get()));
    soup_server_message_unpause(m_message.get());
}

void HttpExchange::watch(std::function<void()> gone, std::function<void()> drained)
{
    m_onDisconnected = std::move(gone);
    m_onDrained = std::move(drained);
    // libsoup does not read from the socket while the response is pending, so a disconnect is detected here.
    auto* socket = soup_server_message_get_socket(m_message.get());
    if (socket)
        m_socketWatch = watchSocket(socket, static_cast<GIOCondition>(G_IO_IN | G_IO_HUP | G_IO_ERR), [this] { checkForDisconnect(); });
}

void HttpExchange::checkForDisconnect()
{
    auto* socket = soup_server_message_get_socket(m_message.get());
    char octet = 0;
    const auto count = socket ? recv(g_socket_get_fd(socket), &octet, 1, MSG_PEEK | MSG_DONTWAIT) : 0;
    m_socketWatch.reset();
    if (count == 0)
        notifyDisconnected();
}

void HttpExchange::notifyDisconnected()
{
    if (auto gone = std::exchange(m_onDisconnected, {}))
        gone();
}

void HttpExchange::onWrote(SoupServerMessage*, unsigned size, gpointer self)
{
    auto* exchange = static_cast<HttpExchange*>(self);
    exchange->m_unsentBytes -= std::min<std::size_t>(exchange->m_unsentBytes, size);
    if (exchange->m_onDrained)
        exchange->m_onDrained();
}

void HttpExchange::onDisconnected(SoupServerMessage*, gpointer self)
{
    static_cast<HttpExchange*>(self)->notifyDisconnected();
}

void HttpExchange::onFinished(SoupServerMessage*, gpointer self)
{
    auto* exchange = static_cast<HttpExchange*>(self);
    if (exchange->m_isFinished)
        return;
    exchange->m_isFinished = true;
    exchange->m_socketWatch.reset();
    exchange->notifyDisconnected();
}

HttpServer::HttpServer(const SocketAddress& address, std::size_t maxBodyBytes, Handler handler)
    : m_address(address)
    , m_maxBodyBytes(maxBodyBytes)
    , m_handler(std::move(handler))
    , m_server(soup_server_new(nullptr, nullptr))
{
}

HttpServer::~HttpServer()
{
    soup_server_disconnect(m_server.get());
}

Result<std::unique_ptr<HttpServer>, std::string> HttpServer::create(const SocketAddress& address, std::size_t maxBodyBytes, Handler handler)
{
    std::unique_ptr<HttpServer> server(new HttpServer(address, maxBodyBytes, std::move(handler)));
    GError* rawError = nullptr;
    const auto socket = listeningSocket(address, &rawError);
    soup_server_add_early_handler(server->m_server.get(), nullptr, onEarly, server.get(), nullptr);
    soup_server_add_handler(server->m_server.get(), nullptr, onRequest, server.get(), nullptr);
    const bool listening = socket
        && soup_server_listen_socket(server->m_server.get(), socket.get(), SoupServerListenOptions {}, &rawError);
    const GErrorPtr error(rawError);
    if (!listening)
        return failure(std::string(error->message));
    GSList* uris = soup_server_get_uris(server->m_server.get());
    server->m_address.port = static_cast<std::uint16_t>(g_uri_get_port(static_cast<GUri*>(uris->data)));
    g_slist_free_full(uris, [](gpointer uri) { g_uri_unref(static_cast<GUri*>(uri)); });
    return server;
}

void HttpServer::stopAccepting()
{
    m_closing = true;
    for (GSList* item = soup_server_get_listeners(m_server.get()); item; item = g_slist_delete_link(item, item)) {
        auto* listener = static_cast<GSocket*>(item->data);
        acceptWaiting(listener);
        g_socket_close(listener, nullptr);
    }
}

void HttpServer::acceptWaiting(GSocket* listener)
{
    g_socket_set_blocking(listener, FALSE);
    while (const GObjectPtr<GSocket> accepted { g_socket_accept(listener, nullptr, nullptr) }) {
        const GObjectPtr<GSocketConnection> connection(g_socket_connection_factory_create_connection(accepted.get()));
        const GObjectPtr<GSocketAddress> local(g_socket_get_local_address(accepted.get(), nullptr));
        const GObjectPtr<GSocketAddress> remote(g_socket_get_remote_address(accepted.get(), nullptr));
        soup_server_accept_iostream(m_server.get(), G_IO_STREAM(connection.get()), local.get(), remote.get(), nullptr);
    }
}

void HttpServer::onEarly(SoupServer*, SoupServerMessage* message, const char*, GHashTable*, gpointer self)
{
    const auto limit = static_cast<HttpServer*>(self)->m_maxBodyBytes;
    g_signal_connect(message, "got-chunk", G_CALLBACK(onChunk), GSIZE_TO_POINTER(limit));
}

void HttpServer::onRequest(SoupServer*, SoupServerMessage* message, const char*, GHashTable*, gpointer self)
{
    auto* server = static_cast<HttpServer*>(self);
    ++*server->m_openExchanges;
    // The request is counted until the last byte is sent, which may be after the exchange was destroyed.
    g_signal_connect_data(message, "finished", G_CALLBACK(onResponseSent), new OpenCount(server->m_openExchanges), releaseCount, GConnectFlags {});
    server->m_handler(std::make_unique<HttpExchange>(*server, message));
}

} // namespace hornbeamgate
