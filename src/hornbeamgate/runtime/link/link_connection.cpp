#include "hornbeamgate/runtime/link/link_connection.hpp"

namespace hornbeamgate {

namespace {

    constexpr guint kConnectTimeoutSeconds = 2;

    /// User data of the asynchronous connect.
    struct ConnectCall {
        Liveness::Watch alive;
        std::function<void(GObjectPtr<GSocketConnection>, const GError*)> done;
    };

    void connectDone(GObject* client, GAsyncResult* result, gpointer data)
    {
        const std::unique_ptr<ConnectCall> call(static_cast<ConnectCall*>(data));
        GError* rawError = nullptr;
        GObjectPtr<GSocketConnection> connection(g_socket_client_connect_finish(G_SOCKET_CLIENT(client), result, &rawError));
        const GErrorPtr error(rawError);
        if (!call->alive.expired())
            call->done(std::move(connection), error.get());
    }

} // namespace

LinkConnection::LinkConnection(StreamOpened opened, Closed closed)
    : m_opened(std::move(opened))
    , m_closed(std::move(closed))
{
}

LinkConnection::~LinkConnection()
{
    if (m_connecting)
        g_cancellable_cancel(m_connecting.get());
    for (const auto& [id, stream] : m_streams)
        stream->m_connection = nullptr;
    for (auto* stream : m_pending)
        stream->m_connection = nullptr;
}

std::unique_ptr<LinkConnection> LinkConnection::connect(const SocketAddress& address, const HostId& self, Closed closed)
{
    std::unique_ptr<LinkConnection> connection(new LinkConnection({}, std::move(closed)));
    connection->m_self = self;
    connection->startConnecting(address);
    return connection;
}

std::unique_ptr<LinkConnection> LinkConnection::accept(GObjectPtr<GSocketConnection> socket, StreamOpened opened, Closed closed)
{
    std::unique_ptr<LinkConnection> connection(new LinkConnection(std::move(opened), std::move(closed)));
    connection->attach(std::move(socket), LinkRole::Server);
    return connection;
}

void LinkConnection::startConnecting(const SocketAddress& address)
{
    const GObjectPtr<GSocketClient> client(g_socket_client_new());
    g_socket_client_set_timeout(client.get(), kConnectTimeoutSeconds);
    g_socket_client_set_enable_proxy(client.get(), FALSE);
    const GObjectPtr<GSocketAddress> target(g_inet_socket_address_new_from_string(address.ip.c_str(), address.port));
    m_connecting.reset(g_cancellable_new());
    auto call = std::make_unique<ConnectCall>();
    call->alive = m_liveness.watch();
    call->done = [this](GObjectPtr<GSocketConnection> connection, const GError* error) {
        m_connecting.reset();
        if (error)
            sessionClosed({ LinkErrorCode::ConnectFailed, error->message, false });
        else
            attach(std::move(connection), LinkRole::Client);
    };
    g_socket_client_connect_async(client.get(), G_SOCKET_CONNECTABLE(target.get()), m_connecting.get(), connectDone, call.release());
}

void LinkConnection::attach(GObjectPtr<GSocketConnection> connection, LinkRole role)
{
    g_socket_set_timeout(g_socket_connection_get_socket(connection.get()), 0);
    m_session = LinkSession::create(std::move(connection), role, *this);
    const auto waiting = std::exchange(m_pending, {});
    for (auto* stream : waiting)
        startStream(*stream);
}

std::unique_ptr<LinkStream> LinkConnection::openStream(std::string_view path)
{
    auto stream = std::make_unique<LinkStream>(*this, 0);
    stream->m_path = path;
    if (m_session)
        startStream(*stream);
    else
        m_pending.insert(stream.get());
    return stream;
}

void LinkConnection::startStream(LinkStream& stream)
{
    const auto id = m_session->openStream(stream.m_path, m_self);
    if (id <= 0) {
        post([this, wanted = &stream, alive = m_liveness.watch()] {
            if (!alive.expired() && m_pending.erase(wanted))
                fail(*wanted, { LinkErrorCode::ProtocolError, "cannot open an HTTP/2 stream", false });
        });
        m_pending.insert(&stream);
        return;
    }
    stream.m_id = id;
    m_streams[id] = &stream;
    for (const auto& message : std::exchange(stream.m_pending, {}))
        m_session->sendMessage(id, message);
    if (stream.m_finishing)
        m_session->finishStream(id);
}

void LinkConnection::release(LinkStream& stream)
{
    m_pending.erase(&stream);
    if (m_streams.erase(stream.m_id) == 0)
        return;
    notifyStreamEnded();
    const bool bothDone = stream.m_remoteDone && stream.m_finishing;
    if (m_session && !bothDone)
        m_session->resetStream(stream.m_id);
}

void LinkConnection::notifyStreamEnded()
{
    if (m_streamEnded)
        m_streamEnded();
}

void LinkConnection::fail(LinkStream& stream, const LinkError& error)
{
    stream.m_connection = nullptr;
    notifyStreamEnded();
    if (stream.m_observer)
        stream.m_observer->streamFailed(error);
}

LinkStream* LinkConnection::find(LinkStreamId id)
{
    const auto found = m_streams.find(id);
    return found == m_streams.end() ? nullptr : found->second;
}

void LinkConnection::watch(std::function<void()> onBytesReceived, std::function<void()> streamEnded)
{
    m_onBytesReceived = std::move(onBytesReceived);
    m_streamEnded = std::move(streamEnded);
}

void LinkConnection::ping()
{
    if (m_session)
        m_session->ping();
}

void LinkConnection::close(const LinkError& error)
{
    if (m_session)
        m_session->close(error);
    else
        sessionClosed(error);
}

void LinkConnection::announceShutdown()
{
    if (m_session)
        m_session->announceShutdown();
}

LinkTraffic LinkConnection::traffic() const
{
    return m_session ? m_session->traffic() : LinkTraffic();
}

void LinkConnection::streamOpened(LinkStreamId id, std::string_view path, const HostId& from)
{
    auto stream = std::make_unique<LinkStream>(*this, id);
    m_streams[id] = stream.get();
    m_opened(std::move(stream), path, from);
}

void LinkConnection::messageReceived(LinkStreamId id, BytesView message)
{
    auto* stream = find(id);
    if (stream && stream->m_observer)
        stream->m_observer->messageReceived(message);
}

void LinkConnection::streamFinished(LinkStreamId id)
{
    auto* stream = find(id);
    if (!stream)
        return;
    stream->m_remoteDone = true;
    if (stream->m_observer)
        stream->m_observer->streamFinished();
}

void LinkConnection::streamFailed(LinkStreamId id, const LinkError& error)
{
    auto* stream = find(id);
    if (!stream)
        return;
    m_streams.erase(id);
    fail(*stream, error);
}

void LinkConnection::streamDrained(LinkStreamId id)
{
    auto* stream = find(id);
    if (stream && stream->m_observer)
        stream->m_observer->streamDrained();
}

void LinkConnection::bytesReceived()
{
    if (m_onBytesReceived)
        m_onBytesReceived();
}

void LinkConnection::sessionClosed(const LinkError& error)
{
    m_hasEnded = true;
    while (!m_pending.empty()) {
        auto* stream = *m_pending.begin();
        m_pending.erase(m_pending.begin());
        // The stream never had a connection, so nothing was sent.
        fail(*stream, { error.code, error.detail, false });
    }
    if (auto closed = std::exchange(m_closed, {}))
        closed(error);
}

} // namespace hornbeamgate
