#include "hornbeamgate/runtime/link/link_server.hpp"

namespace hornbeamgate {

namespace {

    /// Receives one control message and sends one reply. Deletes itself when its stream ends.
    class ControlExchange : private LinkStreamObserver {
    public:
        static void start(std::unique_ptr<LinkStream> stream, const HostId& from, const ControlHandler& handler)
        {
            auto* exchange = new ControlExchange(std::move(stream), from, handler);
            exchange->m_stream->setObserver(exchange);
        }

    private:
        ControlExchange(std::unique_ptr<LinkStream> stream, HostId from, const ControlHandler& handler)
            : m_stream(std::move(stream))
            , m_from(std::move(from))
            , m_handler(handler)
        {
        }

        void messageReceived(BytesView message) override
        {
            if (m_requestReceived)
                return;
            m_requestReceived = true;
            m_stream->consume(message.size());
            m_handler(m_from, message, [this, alive = m_liveness.watch()](const Bytes& reply) {
                if (alive.expired() || m_ended)
                    return;
                m_stream->send(reply);
                m_stream->finish();
                m_replied = true;
                endWhenDone();
            });
        }

        void streamFinished() override
        {
            m_remoteDone = true;
            endWhenDone();
        }

        void streamFailed(const LinkError&) override { end(); }

        void endWhenDone()
        {
            const bool endedWithoutRequest = m_remoteDone && !m_requestReceived;
            if (endedWithoutRequest || (m_remoteDone && m_replied))
                end();
        }

        void end()
        {
            if (m_ended)
                return;
            m_ended = true;
            m_stream->setObserver(nullptr);
            post([this] { delete this; });
        }

        std::unique_ptr<LinkStream> m_stream;
        HostId m_from;
        ControlHandler m_handler;
        Liveness m_liveness;
        bool m_ended = false;
        bool m_requestReceived = false;
        bool m_replied = false;
        bool m_remoteDone = false;
    };

} // namespace

LinkServer::LinkServer(const SocketAddress& address)
    : m_address(address)
    , m_service(g_socket_service_new())
{
}

LinkServer::~LinkServer()
{
    g_socket_service_stop(m_service.get());
    g_socket_listener_close(G_SOCKET_LISTENER(m_service.get()));
    g_signal_handlers_disconnect_by_data(m_service.get(), this);
}

Result<std::unique_ptr<LinkServer>, std::string> LinkServer::create(const SocketAddress& address)
{
    std::unique_ptr<LinkServer> server(new LinkServer(address));
    const GObjectPtr<GSocketAddress> wanted(g_inet_socket_address_new_from_string(address.ip.c_str(), address.port));
    if (!wanted)
        return failure("not an IP address: " + address.ip);
    GSocketAddress* bound = nullptr;
    GError* rawError = nullptr;
    auto* listener = G_SOCKET_LISTENER(server->m_service.get());
    const auto added = g_socket_listener_add_address(listener, wanted.get(), G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr, &bound, &rawError);
    const GErrorPtr error(rawError);
    if (!added)
        return failure(std::string(error->message));
    const GObjectPtr<GSocketAddress> effective(bound);
    server->m_address.port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound));
    g_signal_connect(server->m_service.get(), "incoming", G_CALLBACK(incoming), server.get());
    g_socket_service_start(server->m_service.get());
    return server;
}

gboolean LinkServer::incoming(GSocketService*, GSocketConnection* connection, GObject*, gpointer self)
{
    g_object_ref(connection);
    static_cast<LinkServer*>(self)->accept(GObjectPtr<GSocketConnection>(connection));
    return TRUE;
}

void LinkServer::accept(GObjectPtr<GSocketConnection> socket)
{
    m_connections.emplace_front();
    const auto position = m_connections.begin();
    auto opened = [this](std::unique_ptr<LinkStream> stream, std::string_view path, const HostId& from) { dispatch(std::move(stream), path, from); };
    auto closed = [this, position](const LinkError&) {
        auto* ended = position->release();
        m_connections.erase(position);
        post([ended] { delete ended; });
    };
    *position = LinkConnection::accept(std::move(socket), std::move(opened), std::move(closed));
}

void LinkServer::dispatch(std::unique_ptr<LinkStream> stream, std::string_view path, const HostId& from)
{
    const auto found = m_handlers.find(std::string(path));
    if (found != m_handlers.end())
        found->second(std::move(stream), from);
}

void LinkServer::addStreamHandler(std::string path, StreamHandler handler)
{
    m_handlers[std::move(path)] = std::move(handler);
}

void LinkServer::addControlHandler(const std::string& subject, ControlHandler handler)
{
    addStreamHandler("/control/" + subject, [handler = std::move(handler)](std::unique_ptr<LinkStream> stream, const HostId& from) {
        ControlExchange::start(std::move(stream), from, handler);
    });
}

void LinkServer::stopAccepting()
{
    g_socket_service_stop(m_service.get());
    g_socket_listener_close(G_SOCKET_LISTENER(m_service.get()));
    for (const auto& connection : m_connections)
        connection->announceShutdown();
}

} // namespace hornbeamgate
