#pragma once

#include "hornbeamgate/observability/metrics.hpp"
#include "hornbeamgate/runtime/http/http_client.hpp"
#include "hornbeamgate/settings/agent_settings.hpp"

namespace hornbeamgate {

/// Dependencies shared by all runs of an agent. Owned by the agent, which outlives its runs.
struct AgentContext {
    const AgentSettings* settings = nullptr;
    Metrics* metrics = nullptr;
    HttpClient* client = nullptr;
};

} // namespace hornbeamgate
