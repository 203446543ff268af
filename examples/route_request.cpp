// Drives the router without any I/O: two engines come up, and prompts with a common prefix go to the same one.

#include "hornbeamgate/routing/router.hpp"

#include <iostream>

using namespace hornbeamgate;

namespace {

const DataCenterId kDataCenter("postojna");
const ModelId kModel("rota-7b");
constexpr WeightsVersion kWeights { 3 };

Router makeRouter()
{
    RouterOptions options;
    options.policy = RoutingPolicy::forTailLatency();
    DataCenterPath own;
    own.dataCenter = kDataCenter;
    options.paths = { own };
    return Router::create(options, std::mt19937_64(1)).value();
}

void startEngine(Router& router, const char* name, MonotonicTime now)
{
    router.handle(EndpointUp { EndpointId(name), Incarnation(1), kDataCenter, { { kModel, kWeights } }, now }, now);
}

PlacementResult place(Router& router, std::uint64_t id, const std::string& prompt, MonotonicTime now)
{
    RequestArrived request;
    request.request = RequestId(id);
    request.model = kModel;
    request.weights = kWeights;
    request.blocks = chainBlocks(prompt, { workspaceDomain(WorkspaceId("wells")), kModel, kWeights });
    request.promptBytes = prompt.size();
    request.firstTokenDeadline = now + std::chrono::seconds(10);
    return router.place(request, now);
}

} // namespace

int main()
{
    const MonotonicTime start {};
    const MonotonicTime warm = start + std::chrono::minutes(1);
    auto router = makeRouter();
    startEngine(router, "eng-1", start);
    startEngine(router, "eng-2", start);

    const std::string history(5 * kBytesPerBlock, 'w');
    const auto first = place(router, 1, history + "first question", warm);
    const auto second = place(router, 2, history + "second question", warm);
    if (!first || !second)
        return 1;
    std::cout << "first goes to " << first->endpoint.value() << ", second to " << second->endpoint.value() << '\n';
    return 0;
}
