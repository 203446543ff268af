#include "hornbeamgate/keys/key_ring.hpp"

#include <algorithm>
#include <cstring>

namespace hornbeamgate {
namespace {

    std::uint64_t bucketIndex(const KeyHash& hash)
    {
        std::uint64_t index = 0;
        std::memcpy(&index, hash.octets().data(), sizeof(index));
        return index;
    }

    bool hasPathPrefix(std::string_view path, std::string_view prefix)
    {
        if (!path.starts_with(prefix))
            return false;
        return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
    }

} // namespace

Result<KeyRing, KeyError> KeyRing::create(const RuleSet& rules, KeyHasher hasher)
{
    KeyRing ring(std::move(hasher));
    for (const auto& rule : rules.keys) {
        const auto hash = KeyHash::fromHex(rule.hash);
        if (!hash)
            return failure(hash.error());
        ring.m_byHash.emplace(bucketIndex(*hash), Entry { *hash, { rule.id, rule.workspace } });
    }
    ring.m_openRoutes = rules.openRoutes;
    std::stable_sort(ring.m_openRoutes.begin(), ring.m_openRoutes.end(), [](const auto& left, const auto& right) {
        return left.pathPrefix.size() > right.pathPrefix.size();
    });
    return ring;
}

std::optional<KeyOwner> KeyRing::find(std::string_view secret) const
{
    if (secret.empty() || secret.size() > kMaxKeySecretBytes)
        return std::nullopt;
    const auto hash = m_hasher.hash(secret);
    const auto [begin, end] = m_byHash.equal_range(bucketIndex(hash));
    for (auto entry = begin; entry != end; ++entry) {
        if (entry->second.hash == hash)
            return entry->second.owner;
    }
    return std::nullopt;
}

std::optional<WorkspaceId> KeyRing::findOpenRouteWorkspace(std::string_view path) const
{
    const auto route = std::find_if(m_openRoutes.begin(), m_openRoutes.end(), [&](const auto& candidate) {
        return hasPathPrefix(path, candidate.pathPrefix);
    });
    if (route == m_openRoutes.end())
        return std::nullopt;
    return route->workspace;
}

std::vector<KeyId> findWithdrawnKeys(const RuleSet& before, const RuleSet& after)
{
    std::unordered_map<KeyId, const KeyRule*> kept;
    for (const auto& rule : after.keys)
        kept.emplace(rule.id, &rule);
    std::vector<KeyId> withdrawn;
    for (const auto& rule : before.keys) {
        const auto match = kept.find(rule.id);
        if (match == kept.end() || *match->second != rule)
            withdrawn.push_back(rule.id);
    }
    return withdrawn;
}

} // namespace hornbeamgate
