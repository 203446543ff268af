#include "hornbeamgate/routing/prefix_blocks.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace hornbeamgate;

namespace {

const CacheScope kScope { workspaceDomain(WorkspaceId("postojna")), ModelId("m"), WeightsVersion(3) };

std::string text(std::size_t bytes)
{
    std::string result(bytes, 'a');
    for (std::size_t i = 0; i < bytes; i += 997)
        result[i] = static_cast<char>('a' + i % 26);
    return result;
}

} // namespace

TEST_CASE("only complete blocks are hashed [routing]")
{
    CHECK(chainBlocks("", kScope).empty());
    CHECK(chainBlocks(text(kBytesPerBlock - 1), kScope).empty());
    CHECK(chainBlocks(text(kBytesPerBlock), kScope).size() == 1);
    CHECK(chainBlocks(text(3 * kBytesPerBlock + 5), kScope).size() == 3);
}

TEST_CASE("prompts share exactly the hashes of their common leading blocks [routing]")
{
    const auto first = text(4 * kBytesPerBlock);
    auto second = first;
    second[2 * kBytesPerBlock + 1] = '!';
    const auto a = chainBlocks(first, kScope);
    const auto b = chainBlocks(second, kScope);
    const auto [differs, unused] = std::mismatch(a.begin(), a.end(), b.begin());
    CHECK(differs - a.begin() == 2);
    CHECK(a[3] != b[3]);
}

TEST_CASE("another workspace, open route, model or weights version shares no block hash [routing]")
{
    const auto prompt = text(kBytesPerBlock);
    const auto own = chainBlocks(prompt, kScope);
    const CacheScope others[] = {
        { workspaceDomain(WorkspaceId("cerknica")), kScope.model, kScope.weights },
        { openRouteDomain(WorkspaceId("postojna")), kScope.model, kScope.weights },
        { kScope.domain, ModelId("n"), kScope.weights },
        { kScope.domain, kScope.model, WeightsVersion(4) },
    };
    for (const auto& scope : others)
        CHECK(chainBlocks(prompt, scope) != own);
}
