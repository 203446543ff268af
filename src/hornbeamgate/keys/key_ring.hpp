#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/config/rule_set.hpp"
#include "hornbeamgate/keys/key_hash.hpp"

#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hornbeamgate {

/// Whom a presented secret belongs to.
struct KeyOwner {
    KeyId key;
    WorkspaceId workspace;

    bool operator==(const KeyOwner&) const = default;
};

/// Keys and open routes of one accepted configuration. Immutable; a new configuration makes a new ring.
class KeyRing {
public:
    /// Fails when a key's hash is malformed, which a parsed rule set never holds.
    static Result<KeyRing, KeyError> create(const RuleSet& rules, KeyHasher hasher);

    /// Owner of `secret`, or nothing. Its time does not depend on how much of a secret was guessed right.
    std::optional<KeyOwner> find(std::string_view secret) const;

    /// Workspace in which a request to `path` runs without a key, or nothing. The longest matching prefix counts; a
    /// prefix ends at a '/' or at the end of the path.
    std::optional<WorkspaceId> findOpenRouteWorkspace(std::string_view path) const;

    std::size_t size() const { return m_byHash.size(); }

private:
    struct Entry {
        KeyHash hash;
        KeyOwner owner;
    };

    /// Indexes by the first octets of a keyed hash, which tell nothing about a secret.
    using Index = std::unordered_multimap<std::uint64_t, Entry>;

    explicit KeyRing(KeyHasher hasher)
        : m_hasher(std::move(hasher))
    {
    }

    KeyHasher m_hasher;
    Index m_byHash;
    std::vector<OpenRouteRule> m_openRoutes; ///< longest prefix first
};

/// Keys that `before` accepted and `after` does not accept in the same way: withdrawn, replaced or moved.
std::vector<KeyId> findWithdrawnKeys(const RuleSet& before, const RuleSet& after);

} // namespace hornbeamgate
