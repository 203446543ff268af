#include "hornbeamgate/runtime/link/link_pool.hpp"

#include "hornbeamgate/observability/log.hpp"

#include <tuple>

namespace hornbeamgate {

namespace {

    /// Control message waiting for its response. Deletes itself after the response, an error or the deadline.
    class ControlRequest : private LinkStreamObserver {
    public:
        static void start(std::unique_ptr<LinkStream> stream, BytesView message, MonotonicTime deadline, LinkPool::ControlReply reply)
        {
            auto* request = new ControlRequest(std::move(stream), std::move(reply));
            request->m_stream->setObserver(request);
            request->m_stream->send(message);
            request->m_stream->finish();
            request->m_timer.set(deadline);
        }

    private:
        ControlRequest(std::unique_ptr<LinkStream> stream, LinkPool::ControlReply reply)
            : m_stream(std::move(stream))
            , m_reply(std::move(reply))
            , m_timer([this] { end(failure(LinkError { LinkErrorCode::TimedOut, "no answer before the deadline", true })); })
        {
        }

        void messageReceived(BytesView message) override
        {
            m_stream->consume(message.size());
            end(Bytes(message.begin(), message.end()));
        }

        void streamFinished() override
        {
            end(failure(LinkError { LinkErrorCode::StreamReset, "stream closed without a response", true }));
        }

        void streamFailed(const LinkError& error) override { end(failure(error)); }

        void end(Result<Bytes, LinkError> result)
        {
            if (!m_reply)
                return;
            m_timer.clear();
            m_stream->setObserver(nullptr);
            auto reply = std::exchange(m_reply, {});
            post([this] { delete this; });
            reply(std::move(result));
        }

        std::unique_ptr<LinkStream> m_stream;
        LinkPool::ControlReply m_reply;
        Timer m_timer;
    };

} // namespace

bool LinkPool::AddressLess::operator()(const SocketAddress& left, const SocketAddress& right) const
{
    return std::tie(left.ip, left.port) < std::tie(right.ip, right.port);
}

LinkPool::LinkPool(HostId self)
    : m_self(std::move(self))
{
}

LinkPool::~LinkPool() = default;

struct LinkPool::PooledConnection {
    std::uint64_t number; ///< distinguishes it from earlier connections to the same address
    std::unique_ptr<LinkConnection> connection;
    ConnectionMonitor monitor;
    Timer timer;
};

std::unique_ptr<LinkStream> LinkPool::openStream(const SocketAddress& address, std::string_view path)
{
    const auto now = MonotonicClock::now();
    handleEvent(address, connectionTo(address).number, ConnectionUseRequested {}, now);
    // The first event may have closed a silent connection. A stream opened on it would end before it has an observer.
    auto& pooled = connectionTo(address);
    auto stream = pooled.connection->openStream(path);
    handleEvent(address, pooled.number, ConnectionRequestSent {}, now);
    return stream;
}

void LinkPool::request(const SocketAddress& address, std::string_view subject, BytesView message, MonotonicTime deadline, ControlReply reply)
{
    auto stream = openStream(address, "/control/" + std::string(subject));
    ControlRequest::start(std::move(stream), message, deadline, std::move(reply));
}

LinkPool::PooledConnection& LinkPool::connectionTo(const SocketAddress& address)
{
    // A stream observer may open a new stream while the closing connection is reporting the failure of the old one.
    if (const auto found = m_connections.find(address); found != m_connections.end() && found->second->connection->closed())
        removeConnection(address, found->second->number, { LinkErrorCode::ConnectionLost, "closed", true });
    auto& pooled = m_connections[address];
    if (pooled)
        return *pooled;
    const auto number = ++m_lastNumber;
    auto monitor = ConnectionMonitor::create({}, MonotonicClock::now());
    auto connection = LinkConnection::connect(address, m_self, [this, address, number](const LinkError& error) { removeConnection(address, number, error); });
    connection->watch([this, address, number] { handleEvent(address, number, ConnectionBytesReceived {}, MonotonicClock::now()); },
        [this, address, number] { handleEvent(address, number, ConnectionRequestEnded {}, MonotonicClock::now()); });
    Timer timer([this, address, number] { handleEvent(address, number, ConnectionTimerExpired {}, MonotonicClock::now()); });
    pooled = std::make_unique<PooledConnection>(PooledConnection { number, std::move(connection), std::move(*monitor), std::move(timer) });
    logEvent(LogEvent::LinkOpened, { { "address", address.text() } });
    return *pooled;
}

LinkPool::PooledConnection* LinkPool::find(const SocketAddress& address, std::uint64_t number)
{
    const auto found = m_connections.find(address);
    const bool same = found != m_connections.end() && found->second && found->second->number == number;
    return same ? found->second.get() : nullptr;
}

void LinkPool::handleEvent(const SocketAddress& address, std::uint64_t number, const ConnectionEvent& event, MonotonicTime now)
{
    auto* current = find(address, number);
    if (!current)
        return;
    auto& pooled = *current;
    const auto actions = pooled.monitor.handle(event, now);
    armTimer(pooled);
    for (const auto action : actions) {
        if (action == ConnectionAction::SendPing)
            pooled.connection->ping();
        if (action != ConnectionAction::OpenReplacement)
            continue;
        // Fail the streams now, so that their owners continue on a new connection.
        logEvent(LogEvent::LinkSilent, { { "address", address.text() } });
        pooled.connection->close({ LinkErrorCode::TimedOut, "connection stopped responding to pings", true });
        return;
    }
}

void LinkPool::armTimer(PooledConnection& pooled)
{
    if (const auto deadline = pooled.monitor.nextDeadline())
        pooled.timer.set(*deadline);
    else
        pooled.timer.clear();
}

void LinkPool::removeConnection(const SocketAddress& address, std::uint64_t number, const LinkError& error)
{
    if (!find(address, number))
        return;
    const auto found = m_connections.find(address);
    logEvent(LogEvent::LinkClosed, { { "address", address.text() }, { "reason", error.detail } });
    const auto traffic = found->second->connection->traffic();
    m_closedTraffic.sent += traffic.sent;
    m_closedTraffic.received += traffic.received;
    found->second->timer.clear();
    post([ended = std::shared_ptr<PooledConnection>(std::move(found->second))] {});
    m_connections.erase(found);
}

LinkTraffic LinkPool::traffic() const
{
    auto total = m_closedTraffic;
    for (const auto& [address, pooled] : m_connections) {
        const auto traffic = pooled->connection->traffic();
        total.sent += traffic.sent;
        total.received += traffic.received;
    }
    return total;
}

} // namespace hornbeamgate
