#pragma once

#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/base/time.hpp"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <string>

namespace hornbeamgate::standins {

struct RegisteredHost {
    std::string host;
    std::string address; ///< `ip:port`
    std::string dataCenter;
    std::string region;
    std::string role; ///< `entry` or `agent`
    std::string state = "live"; ///< `live`, `leaving` or `gone`
};

/// Reads a host from JSON as in `GET /hosts`; `state` may be missing.
Result<RegisteredHost, std::string> parseHost(const nlohmann::json& value);

/// Reads a host from `name,ip:port,data_center,region,role`.
Result<RegisteredHost, std::string> parseHostOption(const std::string& text);

/// List of hosts that shows every change only after a lag.
class HostRegistry {
public:
    explicit HostRegistry(std::chrono::milliseconds lag);

    /// Adds or changes a host; the state `gone` removes it.
    void set(RegisteredHost host, MonotonicTime now);

    /// What the list shows at `now`.
    nlohmann::json list(MonotonicTime now);

private:
    struct Change {
        MonotonicTime visibleAt;
        RegisteredHost host;
    };

    void apply(RegisteredHost host);

    std::chrono::milliseconds m_lag;
    std::deque<Change> m_pending;
    std::map<std::string, RegisteredHost> m_visible;
};

} // namespace hornbeamgate::standins
