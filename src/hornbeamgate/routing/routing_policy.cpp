#include "hornbeamgate/routing/routing_policy.hpp"

namespace hornbeamgate {

RoutingPolicy RoutingPolicy::forFairness()
{
    RoutingPolicy policy;
    policy.refusalMargin = 0.5;
    return policy;
}

RoutingPolicy RoutingPolicy::forTailLatency()
{
    RoutingPolicy policy;
    policy.refusalMargin = 0.1;
    return policy;
}

} // namespace hornbeamgate
