#pragma once

#include "hornbeamgate/observability/metrics.hpp"
#include "hornbeamgate/runtime/http/http_server.hpp"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>

namespace hornbeamgate {

/// What the admin pages show of a process.
struct AdminSources {
    std::function<bool()> ready;
    std::function<nlohmann::json()> dump;
    const Metrics* metrics = nullptr;
};

/// Serves `/metrics`, `/healthz`, `/readyz` and `/debug/dump` to operators.
class AdminServer {
public:
    static Result<std::unique_ptr<AdminServer>, std::string> create(const SocketAddress& address, AdminSources sources);

    const SocketAddress& address() const { return m_server->address(); }

private:
    explicit AdminServer(AdminSources sources)
        : m_sources(std::move(sources))
    {
    }

    void serve(HttpExchange& exchange) const;

    AdminSources m_sources;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace hornbeamgate
