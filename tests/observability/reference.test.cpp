#include "hornbeamgate/observability/log.hpp"
#include "hornbeamgate/observability/metrics.hpp"
#include "hornbeamgate/settings/agent_settings.hpp"
#include "hornbeamgate/settings/entry_settings.hpp"
#include "hornbeamgate/settings/gateway_settings.hpp"
#include "hornbeamgate/streams/run_message.hpp"

#include <doctest/doctest.h>

#include <fstream>
#include <set>
#include <sstream>

using namespace hornbeamgate;

namespace {

using Names = std::set<std::string>;

/// Names in the first column of the table under the heading `section`.
Names documented(const std::string& section)
{
    std::ifstream page(HORNBEAMGATE_REFERENCE_PAGE);
    Names names;
    bool inside = false;
    for (std::string line; std::getline(page, line);) {
        if (line.starts_with("## "))
            inside = line == "## " + section;
        const std::string mark = "| `";
        if (inside && line.starts_with(mark))
            names.insert(line.substr(mark.size(), line.find('`', mark.size()) - mark.size()));
    }
    return names;
}

template <typename Enum, typename NameOf>
Names allNames(Enum end, NameOf nameOf)
{
    Names names;
    for (std::size_t i = 0; i < static_cast<std::size_t>(end); ++i)
        names.insert(std::string(nameOf(static_cast<Enum>(i))));
    return names;
}

Names toNames(const std::vector<std::string>& keys)
{
    return { keys.begin(), keys.end() };
}

std::string difference(const Names& left, const Names& right)
{
    std::ostringstream text;
    for (const auto& name : left) {
        if (!right.contains(name))
            text << name << ' ';
    }
    return text.str();
}

void checkSection(const std::string& section, const Names& code)
{
    CAPTURE(section);
    const auto page = documented(section);
    CHECK(difference(code, page) == "");
    CHECK(difference(page, code) == "");
}

} // namespace

TEST_CASE("the reference page names exactly the events, metrics, errors and settings of the code [reference]")
{
    auto metrics = allNames(Counter::CounterCount, counterName);
    metrics.merge(allNames(Latency::LatencyCount, latencyName));
    checkSection("Log events", allNames(LogEvent::EventCount, eventName));
    checkSection("Metrics", metrics);
    checkSection("Error codes", allNames(RunError::ErrorCount, runErrorName));
    checkSection("Settings of the entry daemon", toNames(entrySettingsKeys()));
    checkSection("Settings of the gateway daemon", toNames(gatewaySettingsKeys()));
    checkSection("Settings of the agent", toNames(agentSettingsKeys()));
}
