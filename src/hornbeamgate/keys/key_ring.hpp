#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/config/rule_set.hpp"
#include "hornbeamgate/keys/key_hash.hpp"

#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hornbeamgate {

/// Key and workspace that a secret belongs to.
struct KeyOwner {
    KeyId key;
    WorkspaceId workspace;

    bool operator==(const KeyOwner&) const = default;
};

/// Keys and open routes of one accepted configuration. Immutable; each configuration gets a new instance.
class KeyRing {
public:
    /// Fails if the hash of a key is malformed, which cannot happen with a parsed rule set.
    static Result<KeyRing, KeyError> create(const RuleSet& rules, KeyHasher hasher);

    /// Returns the owner of `secret`, or nullopt. The run time does not depend on how much of a secret was guessed
    /// correctly.
    std::optional<KeyOwner> find(std::string_view secret) const;

    /// Returns the workspace for requests to `path` without a key, or nullopt if `path` requires one. The longest
    /// matching prefix is used; a prefix ends at a '/' or at the end of the path.
    std::optional<WorkspaceId> findOpenRouteWorkspace(std::string_view path) const;

    std::size_t size() const { return m_byHash.size(); }

private:
    struct Entry {
        KeyHash hash;
        KeyOwner owner;
    };

    /// Maps the first 8 bytes of the keyed hash, which reveal nothing about the secret, to entries.
    using Index = std::unordered_multimap<std::uint64_t, Entry>;

    explicit KeyRing(KeyHasher hasher)
        : m_hasher(std::move(hasher))
    {
    }

    KeyHasher m_hasher;
    Index m_byHash;
    std::vector<OpenRouteRule> m_openRoutes; ///< longest prefix first
};

/// Returns the keys of `before` that `after` no longer contains unchanged: removed, replaced or moved to another
/// workspace.
std::vector<KeyId> findWithdrawnKeys(const RuleSet& before, const RuleSet& after);

} // namespace hornbeamgate
