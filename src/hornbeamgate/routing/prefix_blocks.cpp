#include "hornbeamgate/routing/prefix_blocks.hpp"

#include "hornbeamgate/base/hash.hpp"

#include <string>

namespace hornbeamgate {

namespace {

    std::uint64_t saltOf(const CacheScope& scope)
    {
        const auto domain = stableHash(scope.domain.value());
        const auto model = stableHash(scope.model.value(), domain);
        return stableHash(std::to_string(scope.weights.value()), model);
    }

} // namespace

CacheDomain workspaceDomain(const WorkspaceId& workspace)
{
    return CacheDomain("workspace:" + workspace.value());
}

CacheDomain openRouteDomain(const WorkspaceId& workspace)
{
    return CacheDomain("open:" + workspace.value());
}

std::vector<BlockHash> chainBlocks(std::string_view prompt, const CacheScope& scope)
{
    std::vector<BlockHash> chain;
    chain.reserve(prompt.size() / kBytesPerBlock);
    std::uint64_t previous = saltOf(scope);
    while (prompt.size() >= kBytesPerBlock) {
        previous = stableHash(prompt.substr(0, kBytesPerBlock), previous);
        chain.emplace_back(previous);
        prompt.remove_prefix(kBytesPerBlock);
    }
    return chain;
}

} // namespace hornbeamgate
