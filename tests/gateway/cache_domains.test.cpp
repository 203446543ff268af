#include "hornbeamgate/gateway/cache_domains.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;

namespace {

WorkspaceRule workspace(const std::string& name, bool isIsolated)
{
    WorkspaceRule made;
    made.id = WorkspaceId(name);
    made.isIsolated = isIsolated;
    return made;
}

} // namespace

TEST_CASE("without isolated workspaces all share one unnamed domain [cache-domains]")
{
    const CacheDomains domains({ workspace("karst", false), workspace("pivka", false) });
    CHECK(domains.domainOf(WorkspaceId("karst")).empty());
    CHECK(domains.shared().empty());
    CHECK(domains.isolatedCount() == 0);
}

TEST_CASE("the shared domain depends on which workspaces are isolated, not on their order [cache-domains]")
{
    const CacheDomains none({ workspace("a", false), workspace("b", false), workspace("c", false) });
    const CacheDomains one({ workspace("a", true), workspace("b", false), workspace("c", false) });
    const CacheDomains two({ workspace("a", true), workspace("b", true), workspace("c", false) });
    const CacheDomains reordered({ workspace("c", false), workspace("b", true), workspace("a", true) });
    CHECK(std::set { none.shared(), one.shared(), two.shared() }.size() == 3);
    CHECK(reordered.shared() == two.shared());
    CHECK(two.domainOf(WorkspaceId("c")) == two.shared());
    CHECK(two.domainOf(WorkspaceId("a")) != two.domainOf(WorkspaceId("b")));
}

TEST_CASE("a workspace that the configuration does not have shares no domain with another one [cache-domains]")
{
    const CacheDomains domains({ workspace("a", false), workspace("b", true) });
    const auto removed = domains.domainOf(WorkspaceId("removed"));
    CHECK(removed != domains.shared());
    CHECK(removed != domains.domainOf(WorkspaceId("b")));
}

TEST_CASE("no workspace name gives the domain of another workspace or a shared one [cache-domains]")
{
    const CacheDomains first({ workspace("a", false), workspace("b", true) });
    const CacheDomains second({ workspace("a", false), workspace(first.shared(), true), workspace("workspace/b", true) });
    CHECK(second.domainOf(WorkspaceId(first.shared())) != first.shared());
    CHECK(second.domainOf(WorkspaceId("workspace/b")) != first.domainOf(WorkspaceId("b")));
}

TEST_CASE("pairs of a domain and weights give different domains, whatever the names [cache-domains]")
{
    CHECK(rc::check([] {
        const auto name = rc::gen::container<std::string>(rc::gen::element('/', '1', '2', '@', 'a'));
        const auto first = std::pair { *name, *rc::gen::inRange<std::uint64_t>(0, 30) };
        const auto second = std::pair { *name, *rc::gen::inRange<std::uint64_t>(0, 30) };
        const CacheDomains domains({});
        const auto domainOf = [&](const auto& pair) { return domainOfWeights(domains.domainOf(WorkspaceId(pair.first)), WeightsVersion(pair.second)); };
        RC_ASSERT((first == second) == (domainOf(first) == domainOf(second)));
        RC_ASSERT(domainOf(first) != domains.domainOf(WorkspaceId(second.first)));
        RC_ASSERT(domainOf(first) != domainOfWeights(domains.shared(), WeightsVersion(second.second)));
    }));
}

// Guards against blocks of a workspace that others find after it was isolated, whatever the configurations before.
TEST_CASE("an isolated workspace shares no blocks with another one, in any series of configurations [cache-domains]")
{
    CHECK(rc::check([] {
        const std::vector<std::string> names { "a", "b", "c", "d" };
        std::map<std::string, std::set<std::string>> makers; ///< workspaces that filled each domain
        const auto changes = *rc::gen::inRange(1, 12);
        for (int change = 0; change < changes; ++change) {
            std::vector<WorkspaceRule> rules;
            for (const auto& name : names) {
                if (*rc::gen::inRange(0, 4) > 0)
                    rules.push_back(workspace(name, *rc::gen::arbitrary<bool>()));
            }
            const CacheDomains domains(rules);
            for (const auto& rule : rules) {
                for (const auto& maker : makers[domains.domainOf(rule.id)]) {
                    const auto ofMaker = std::find_if(rules.begin(), rules.end(), [&](const auto& other) { return other.id.value() == maker; });
                    const bool isMakerIsolated = ofMaker != rules.end() && ofMaker->isIsolated;
                    RC_ASSERT(maker == rule.id.value() || !(rule.isIsolated || isMakerIsolated));
                }
            }
            for (const auto& name : names)
                makers[domains.domainOf(WorkspaceId(name))].insert(name);
        }
    }));
}
