#pragma once

#include "hornbeamgate/config/rule_set.hpp"
#include "hornbeamgate/keys/key_ring.hpp"

#include <unordered_map>

namespace hornbeamgate {

/// Configuration currently in force, indexed for lookups by requests. Immutable; a newer version replaces the object.
class ActiveConfig {
public:
    static Result<ActiveConfig, KeyError> create(ConfigVersion version, RuleSet rules, KeyHasher hasher);

    ConfigVersion version() const { return m_version; }
    const RuleSet& rules() const { return m_rules; }
    const KeyRing& keys() const { return m_keys; }
    const WorkspaceRule* workspace(const WorkspaceId& id) const;
    const ModelRule* model(const ModelId& id) const;
    const ServiceRule* service(const ServiceId& id) const;

private:
    ActiveConfig(ConfigVersion version, RuleSet rules, KeyRing keys);

    ConfigVersion m_version;
    RuleSet m_rules;
    KeyRing m_keys;
    /// Indices into the vectors of `m_rules`.
    std::unordered_map<WorkspaceId, std::size_t> m_workspaces;
    std::unordered_map<ModelId, std::size_t> m_models;
    std::unordered_map<ServiceId, std::size_t> m_services;
};

} // namespace hornbeamgate
