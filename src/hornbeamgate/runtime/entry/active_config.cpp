#include "hornbeamgate/runtime/entry/active_config.hpp"

namespace hornbeamgate {

namespace {

    template <typename Id, typename Rule>
    void indexById(const std::vector<Rule>& rules, std::unordered_map<Id, std::size_t>& index)
    {
        for (std::size_t i = 0; i < rules.size(); ++i)
            index[rules[i].id] = i;
    }

    template <typename Id, typename Rule>
    const Rule* findById(const std::vector<Rule>& rules, const std::unordered_map<Id, std::size_t>& index, const Id& id)
    {
        const auto found = index.find(id);
        return found == index.end() ? nullptr : &rules[found->second];
    }

} // namespace

ActiveConfig::ActiveConfig(ConfigVersion version, RuleSet rules, KeyRing keys)
    : m_version(version)
    , m_rules(std::move(rules))
    , m_keys(std::move(keys))
{
    indexById(m_rules.workspaces, m_workspaces);
    indexById(m_rules.models, m_models);
    indexById(m_rules.services, m_services);
}

Result<ActiveConfig, KeyError> ActiveConfig::create(ConfigVersion version, RuleSet rules, KeyHasher hasher)
{
    auto keys = KeyRing::create(rules, std::move(hasher));
    if (!keys)
        return failure(keys.error());
    return ActiveConfig(version, std::move(rules), std::move(*keys));
}

const WorkspaceRule* ActiveConfig::workspace(const WorkspaceId& id) const
{
    return findById(m_rules.workspaces, m_workspaces, id);
}

const ModelRule* ActiveConfig::model(const ModelId& id) const
{
    return findById(m_rules.models, m_models, id);
}

const ServiceRule* ActiveConfig::service(const ServiceId& id) const
{
    return findById(m_rules.services, m_services, id);
}

} // namespace hornbeamgate
