#pragma once

#include "common/http_server.hpp"
#include "hornbeamgate/base/result.hpp"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamgate::standins {

/// What goes wrong with a request.
enum class FaultKind {
    Outage, ///< answered 503, nothing done
    Refuse, ///< answered 503 as overloaded, nothing done
    Slow, ///< served after the delay
    LoseAnswer, ///< served, but the connection closes in place of the answer
    Drop, ///< the connection closes; an engine's run goes on and can be resumed
    Silent, ///< the connection stays open and carries nothing more
    Crash, ///< all connections close, all state is lost, a new incarnation begins
    Stall, ///< the run makes no progress during the delay
    Duplicate, ///< every stream event is sent twice
    Late, ///< one stream event is sent after the one that follows it
};

/// Fault that waits for requests to its target.
struct Fault {
    FaultKind kind = FaultKind::Outage;
    std::string target;
    std::optional<std::uint64_t> remaining; ///< requests still to be hit; none: until cleared
    std::chrono::milliseconds delay { 0 };
    std::uint64_t afterEvents = 0; ///< stream events sent before the fault begins
};

/// Faults asked for by `POST /faults` and not yet used up.
class FaultTable {
public:
    /// Accepts faults of `kinds` for `targets` only.
    FaultTable(std::vector<std::string> targets, std::vector<FaultKind> kinds);

    /// Adds the fault that `request` describes; the error says what is wrong with it.
    Result<void, std::string> add(const nlohmann::json& request);

    /// Takes one use of the oldest fault for `target`.
    std::optional<Fault> take(const std::string& target);

    void clear();

    /// Serves `/faults`: POST adds, DELETE clears, GET lists.
    void serve(Exchange&);

private:
    nlohmann::json list() const;

    std::vector<std::string> m_targets;
    std::vector<FaultKind> m_kinds;
    std::vector<Fault> m_faults;
};

/// Serves `exchange` with `serve` under `fault`, if there is one. Faults that strike a running stream are the server's own.
void serveUnderFault(const std::optional<Fault>& fault, ExchangePtr exchange, std::function<void(ExchangePtr)> serve);

/// Serves `exchange` with `serve`, under the fault that is due for `target` if there is one.
void serveUnderFaults(FaultTable&, const std::string& target, ExchangePtr exchange, std::function<void(ExchangePtr)> serve);

} // namespace hornbeamgate::standins
