#include "hornbeamgate/runtime/net/http_acceptor.hpp"

#include <algorithm>

namespace hornbeamgate::gateway {

namespace {

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
    m_host.ended = [this](HttpServerConnection& connection) {
        // This runs inside a callback of the connection, so its destruction is deferred until the callback has returned.
        post([this, ended = &connection, alive = m_liveness.watch()] {
            if (!alive.expired())
                m_connections.erase(ended);
        });
    };
}

void HttpAcceptor::add(std::unique_ptr<TcpStream> stream)
{
    auto connection = std::make_unique<HttpServerConnection>(std::move(stream), m_host);
    const auto* key = connection.get();
    m_connections.emplace(key, std::move(connection));
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
