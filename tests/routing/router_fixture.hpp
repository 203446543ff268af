#pragma once

#include "hornbeamgate/routing/router.hpp"

#include <string>

namespace hornbeamgate::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline const MonotonicTime kStart = MonotonicTime(seconds(1000));

inline EndpointId engine(std::size_t number)
{
    return EndpointId("engine-" + std::to_string(number));
}

inline RouterOptions routerOptions()
{
    RouterOptions options;
    options.policy.jitter = Duration::zero();
    options.paths = { { DataCenterId("postojna") }, { DataCenterId("sezana"), milliseconds(60), 3.75e6, milliseconds(500) } };
    options.blockLocationEntries = 256;
    options.popularityEntries = 256;
    return options;
}

inline Router makeRouter(const RouterOptions& options = routerOptions())
{
    return Router::create(options, std::mt19937_64(7)).value();
}

inline EndpointUp upEvent(std::size_t number, std::uint64_t incarnation = 1, std::uint64_t weights = 1)
{
    return { engine(number), Incarnation(incarnation), DataCenterId("postojna"),
        { { ModelId("m"), WeightsVersion(weights) } }, kStart - seconds(100) };
}

inline RequestArrived request(std::uint64_t id, std::vector<BlockHash> blocks, MonotonicTime now = kStart,
    std::uint64_t weights = 1, Duration timeout = seconds(10))
{
    const std::size_t bytes = blocks.size() * kBytesPerBlock;
    return { RequestId(id), ModelId("m"), WeightsVersion(weights), std::move(blocks), bytes, 0, now + timeout };
}

inline std::vector<BlockHash> chain(std::uint64_t document, std::size_t blocks)
{
    return chainBlocks(std::string(blocks * kBytesPerBlock, 'x'),
        { CacheDomain("d" + std::to_string(document)), ModelId("m"), WeightsVersion(1) });
}

} // namespace hornbeamgate::test
