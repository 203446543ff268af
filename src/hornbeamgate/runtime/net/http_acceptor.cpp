#include "hornbeamgate/runtime/net/http_acceptor.hpp"

#include <algorithm>
#include <utility>

namespace hornbeamgate::gateway {

namespace {

    /// Bounds the cost of searches while no connection may be closed.
    constexpr std::chrono::milliseconds kSearchInterval { 50 };
    /// Sent at once when a connection is accepted that there is no room for. Nothing was read, so nothing has run.
    constexpr std::string_view kConnectionRefusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

    class ImmediateResponseHandler : public HttpRequestHandler {
    public:
        ImmediateResponseHandler(HttpServerConnection& connection, HttpSimpleResponse answer)
            : m_connection(connection)
            , m_answer(std::move(answer))
        {
        }

        void start() override
        {
            HttpFields fields;
            if (!m_answer.contentType.empty())
                fields.add("Content-Type", m_answer.contentType);
            m_connection.answer(m_answer.status, std::move(fields), m_answer.body);
        }

        void clientDisconnected() override { }

    private:
        HttpServerConnection& m_connection;
        HttpSimpleResponse m_answer;
    };

} // namespace

Result<std::unique_ptr<HttpAcceptor>, NetError> HttpAcceptor::create(const SocketAddress& address, Service service)
{
    auto acceptor = std::unique_ptr<HttpAcceptor>(new HttpAcceptor(std::move(service)));
    auto listener = TcpListener::create(address, [raw = acceptor.get()](std::unique_ptr<TcpStream> stream) { raw->add(std::move(stream)); });
    if (!listener)
        return failure(listener.error());
    acceptor->m_listener = std::move(*listener);
    return acceptor;
}

HttpAcceptor::HttpAcceptor(Service service)
{
    m_host.accept = std::move(service.accept);
    m_host.limits = service.limits ? std::move(service.limits) : [] { return HttpServerLimits {}; };
    m_host.isClosing = service.isClosing ? std::move(service.isClosing) : [] { return false; };
    m_host.memory = service.memory;
    m_host.refusalFields = std::move(service.refusalFields);
    m_maxConnections = std::move(service.maxConnections);
    m_host.ended = [this](HttpServerConnection& connection) {
        // This runs inside a callback of the connection, so its destruction is deferred until the callback has returned.
        ++m_endedConnections;
        post([this, ended = &connection, alive = m_liveness.watch()] {
            if (alive.expired())
                return;
            --m_endedConnections;
            m_connections.erase(ended);
        });
    };
}

void HttpAcceptor::add(std::unique_ptr<TcpStream> stream)
{
    if (m_maxConnections && m_connections.size() - m_endedConnections >= m_maxConnections() && !makeRoom()) {
        refuse(*stream);
        return;
    }
    auto connection = std::make_unique<HttpServerConnection>(std::move(stream), m_host);
    const auto* key = connection.get();
    m_connections.emplace(key, std::move(connection));
}

bool HttpAcceptor::makeRoom()
{
    const auto now = MonotonicClock::now();
    if (now < m_nextSearch)
        return false;
    // Connections without an accepted request come first, then those whose clients read nothing of their responses.
    HttpServerConnection* chosen = nullptr;
    std::pair<bool, MonotonicTime> chosenRank { true, now };
    for (const auto& [key, connection] : m_connections) {
        const auto since = connection->stalledSince();
        const std::pair rank { connection->isAccepted(), since.value_or(now) };
        if (!since || now - *since < MemoryAccount::kStallTime || rank > chosenRank)
            continue;
        chosen = connection.get();
        chosenRank = rank;
    }
    if (!chosen) {
        m_nextSearch = now + kSearchInterval;
        return false;
    }
    chosen->release("too many connections");
    reportRefused("replaced");
    return true;
}

void HttpAcceptor::refuse(TcpStream& stream) const
{
    stream.send(kConnectionRefusal);
    reportRefused("connections");
}

void HttpAcceptor::reportRefused(std::string_view reason) const
{
    if (m_host.memory && m_host.memory->observer().refused)
        m_host.memory->observer().refused(reason);
}

std::size_t HttpAcceptor::busyConnections() const
{
    return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(), [](const auto& entry) { return entry.second->hasRequest(); }));
}

void HttpAcceptor::closeIdleConnections()
{
    for (auto& [key, connection] : m_connections)
        connection->closeIfIdle();
}

void HttpAcceptor::reportCutOffResponses(std::string_view reason)
{
    for (auto& [key, connection] : m_connections)
        connection->reportCutOff(reason);
}

HttpServerConnection::Accept respondImmediately(std::function<HttpSimpleResponse(const HttpRequestMessage&)> answer)
{
    return [answer = std::move(answer)](HttpServerConnection& connection, const HttpRequestMessage& message) -> std::unique_ptr<HttpRequestHandler> {
        return std::make_unique<ImmediateResponseHandler>(connection, answer(message));
    };
}

} // namespace hornbeamgate::gateway
