#include "hornbeamgate/runtime/admin_server.hpp"

#include <nlohmann/json.hpp>

namespace hornbeamgate {

namespace {

    constexpr std::size_t kMaxBodyBytes = 4096;
    constexpr unsigned kOk = 200;
    constexpr unsigned kNotFound = 404;
    constexpr unsigned kUnavailable = 503;

} // namespace

Result<std::unique_ptr<AdminServer>, std::string> AdminServer::create(const SocketAddress& address, AdminSources sources)
{
    std::unique_ptr<AdminServer> admin(new AdminServer(std::move(sources)));
    auto server = HttpServer::create(address, kMaxBodyBytes, [self = admin.get()](const std::unique_ptr<HttpExchange>& exchange) { self->serve(*exchange); });
    if (!server)
        return failure(server.error());
    admin->m_server = std::move(*server);
    return admin;
}

void AdminServer::serve(HttpExchange& exchange) const
{
    const auto path = exchange.path();
    if (path == "/metrics") {
        exchange.answer(kOk, "text/plain; version=0.0.4", m_sources.metrics->page());
    } else if (path == "/healthz") {
        exchange.answer(kOk, "text/plain", "ok\n");
    } else if (path == "/readyz") {
        const bool ready = m_sources.ready();
        exchange.answer(ready ? kOk : kUnavailable, "text/plain", ready ? "ready\n" : "not ready\n");
    } else if (path == "/debug/dump") {
        constexpr int kIndent = 2;
        exchange.answer(kOk, "application/json", m_sources.dump().dump(kIndent) + '\n');
    } else {
        exchange.answer(kNotFound, "text/plain", "pages: /metrics /healthz /readyz /debug/dump\n");
    }
}

} // namespace hornbeamgate
