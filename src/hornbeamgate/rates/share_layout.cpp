#include "hornbeamgate/rates/share_layout.hpp"

#include "hornbeamgate/base/hash.hpp"

#include <set>

namespace hornbeamgate {

namespace {

    constexpr std::uint32_t kMaxSharesPerRegion = 16;
    constexpr std::uint32_t kMaxShardsPerRegion = 65'536;

    RateLimit dividedLimit(const RateLimit& limit, std::size_t count)
    {
        const auto parts = static_cast<double>(count);
        return { limit.perSecond / parts, limit.burst / parts };
    }

    std::size_t shareCountFor(double burst, std::int64_t minimum, std::size_t maxShares)
    {
        const double parts = burst / static_cast<double>(minimum);
        if (!(parts >= 1))
            return 1;
        return parts >= static_cast<double>(maxShares) ? maxShares : static_cast<std::size_t>(parts);
    }

} // namespace

Result<ShareLayout, BudgetError> ShareLayout::create(ShareLayout layout)
{
    const std::set<RegionId> distinct(layout.regions.begin(), layout.regions.end());
    if (layout.regions.empty() || distinct.size() != layout.regions.size() || distinct.contains(RegionId {}))
        return failure(BudgetError { "at least one region is required, and region names must be distinct and non-empty" });
    if (layout.sharesPerRegion == 0 || layout.sharesPerRegion > kMaxSharesPerRegion)
        return failure(BudgetError { "shares per region must be between 1 and 16" });
    if (layout.shardsPerRegion == 0 || layout.shardsPerRegion > kMaxShardsPerRegion)
        return failure(BudgetError { "shards per region must be between 1 and 65536" });
    if (layout.shardsPerRegion % layout.sharesPerRegion != 0)
        return failure(BudgetError { "shards per region must be a multiple of shares per region" });
    if (layout.minShareBurst.requests < 1 || layout.minShareBurst.tokens < 1)
        return failure(BudgetError { "the minimum burst of a share must be positive" });
    return layout;
}

std::vector<Share> ShareLayout::sharesOf(const WorkspaceRule& rule) const
{
    const std::size_t maxShares = regions.size() * sharesPerRegion;
    const auto byRequests = shareCountFor(rule.requests.burst, minShareBurst.requests, maxShares);
    const auto byTokens = shareCountFor(rule.tokens.burst, minShareBurst.tokens, maxShares);
    const auto count = std::min(byRequests, byTokens);
    const ShareLimits limits { dividedLimit(rule.requests, count), dividedLimit(rule.tokens, count) };
    const auto firstRegion = stableHash(rule.id.value()) % regions.size();
    std::vector<Share> shares;
    shares.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        const auto& region = regions[(firstRegion + i) % regions.size()];
        const auto replica = i / regions.size();
        const auto group = stableHash(rule.id.value(), 1) % (shardsPerRegion / sharesPerRegion);
        const auto number = group * sharesPerRegion + replica;
        shares.push_back({ { region, static_cast<std::uint32_t>(number) }, limits });
    }
    return shares;
}

} // namespace hornbeamgate
