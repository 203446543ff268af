#pragma once

#include "hornbeamgate/base/ids.hpp"

#include <cstddef>
#include <string_view>
#include <vector>

namespace hornbeamgate {

/// Hash of a prefix block and all blocks before it. Identical on every host.
using BlockHash = StrongNumber<struct BlockHashTag>;

/// Group of requests that may reuse each other's cached blocks.
using CacheDomain = StrongName<struct CacheDomainTag>;

/// Tokens in one prefix block.
constexpr std::size_t kTokensPerBlock = 2000;

/// Bytes of prompt text per token, as an estimate.
constexpr std::size_t kBytesPerToken = 4;

/// Bytes of prompt text in one prefix block.
constexpr std::size_t kBytesPerBlock = kTokensPerBlock * kBytesPerToken;

/// Returns the cache domain of requests that are authenticated with a key of `workspace`.
CacheDomain workspaceDomain(const WorkspaceId& workspace);

/// Returns the shared cache domain of requests on an open route of `workspace`. Differs from the domain of any workspace.
CacheDomain openRouteDomain(const WorkspaceId& workspace);

/// Scope that salts the hashes of a block chain. Blocks of different scopes have different hashes, except for 64-bit collisions.
struct CacheScope {
    CacheDomain domain;
    ModelId model;
    WeightsVersion weights;
};

/// Hashes the complete blocks of `prompt` in order. Element i identifies blocks 0 to i. An incomplete last block is omitted,
/// because engines cache complete blocks only.
std::vector<BlockHash> chainBlocks(std::string_view prompt, const CacheScope& scope);

} // namespace hornbeamgate
