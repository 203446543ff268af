#pragma once

#include "hornbeamgate/keys/keyed_streams.hpp"
#include "hornbeamgate/observability/metrics.hpp"
#include "hornbeamgate/routing/router.hpp"
#include "hornbeamgate/runtime/entry/active_config.hpp"
#include "hornbeamgate/runtime/entry/budget_admission.hpp"
#include "hornbeamgate/runtime/entry/endpoint_directory.hpp"
#include "hornbeamgate/runtime/entry/key_trust_monitor.hpp"
#include "hornbeamgate/runtime/link/link_pool.hpp"
#include "hornbeamgate/settings/entry_settings.hpp"
#include "hornbeamgate/streams/retry_budget.hpp"

namespace hornbeamgate {

/// Dependencies shared by all requests of an entry daemon. Owned by the daemon, which outlives its requests.
struct EntryContext {
    const EntrySettings* settings = nullptr;
    Incarnation incarnation;
    Metrics* metrics = nullptr;
    LinkPool* links = nullptr;
    RetryBudget* retries = nullptr;
    Router* router = nullptr;
    EndpointDirectory* directory = nullptr;
    BudgetAdmission* budget = nullptr;
    const ActiveConfig* config = nullptr; ///< null until the first configuration was applied
    const KeyTrustMonitor* keyTrustMonitor = nullptr;
    KeyedStreams* keyedStreams = nullptr;
};

} // namespace hornbeamgate
