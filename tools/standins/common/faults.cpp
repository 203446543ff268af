#include "common/faults.hpp"

#include "common/main_loop.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace hornbeamgate::standins {

namespace {

    struct KindName {
        FaultKind kind;
        const char* name;
    };

    constexpr std::array kKindNames {
        KindName { FaultKind::Outage, "outage" },
        KindName { FaultKind::Refuse, "refuse" },
        KindName { FaultKind::Slow, "slow" },
        KindName { FaultKind::LoseAnswer, "lose_answer" },
        KindName { FaultKind::Drop, "drop" },
        KindName { FaultKind::Silent, "silent" },
        KindName { FaultKind::Crash, "crash" },
        KindName { FaultKind::Stall, "stall" },
        KindName { FaultKind::Duplicate, "duplicate" },
        KindName { FaultKind::Late, "late" },
    };

    std::optional<FaultKind> parseKind(const std::string& name)
    {
        const auto* found = std::find_if(kKindNames.begin(), kKindNames.end(),
            [&](const KindName& candidate) { return name == candidate.name; });
        if (found == kKindNames.end())
            return std::nullopt;
        return found->kind;
    }

    const char* nameOf(FaultKind kind)
    {
        const auto* found = std::find_if(kKindNames.begin(), kKindNames.end(),
            [&](const KindName& candidate) { return kind == candidate.kind; });
        return found->name;
    }

    std::uint64_t numberAt(const nlohmann::json& request, const char* key, std::uint64_t fallback)
    {
        const auto found = request.find(key);
        return found != request.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : fallback;
    }

    std::string textAt(const nlohmann::json& request, const char* key)
    {
        const auto found = request.find(key);
        return found != request.end() && found->is_string() ? found->get<std::string>() : std::string();
    }

} // namespace

FaultTable::FaultTable(std::vector<std::string> targets, std::vector<FaultKind> kinds)
    : m_targets(std::move(targets))
    , m_kinds(std::move(kinds))
{
}

Result<void, std::string> FaultTable::add(const nlohmann::json& request)
{
    if (!request.is_object())
        return failure(std::string("a fault is a JSON object"));
    const auto kind = parseKind(textAt(request, "fault"));
    if (!kind || std::find(m_kinds.begin(), m_kinds.end(), *kind) == m_kinds.end())
        return failure(std::string("\"fault\" is missing or unknown here"));
    Fault fault;
    fault.kind = *kind;
    fault.target = textAt(request, "target");
    if (std::find(m_targets.begin(), m_targets.end(), fault.target) == m_targets.end())
        return failure(std::string("\"target\" is missing or unknown here"));
    if (!request.value("until_cleared", nlohmann::json(false)).is_boolean())
        return failure(std::string("\"until_cleared\" is true or false"));
    if (!request.value("until_cleared", false))
        fault.remaining = std::max<std::uint64_t>(1, numberAt(request, "count", 1));
    fault.delay = std::chrono::milliseconds(numberAt(request, "delay_ms", 0));
    fault.afterEvents = numberAt(request, "after_events", 0);
    m_faults.push_back(std::move(fault));
    return {};
}

std::optional<Fault> FaultTable::take(const std::string& target)
{
    const auto found = std::find_if(m_faults.begin(), m_faults.end(),
        [&](const Fault& fault) { return fault.target == target; });
    if (found == m_faults.end())
        return std::nullopt;
    const Fault taken = *found;
    if (found->remaining && --*found->remaining == 0)
        m_faults.erase(found);
    return taken;
}

void FaultTable::clear()
{
    m_faults.clear();
}

void FaultTable::serve(Exchange& exchange)
{
    if (exchange.method() == "DELETE") {
        clear();
        exchange.answer(200, list());
        return;
    }
    if (exchange.method() == "GET") {
        exchange.answer(200, list());
        return;
    }
    const auto added = add(nlohmann::json::parse(exchange.body(), nullptr, false));
    if (added)
        exchange.answer(200, list());
    else
        exchange.answerError(400, "invalid_fault", added.error());
}

nlohmann::json FaultTable::list() const
{
    auto faults = nlohmann::json::array();
    for (const Fault& fault : m_faults) {
        nlohmann::json item { { "fault", nameOf(fault.kind) }, { "target", fault.target } };
        if (fault.remaining)
            item["count"] = *fault.remaining;
        else
            item["until_cleared"] = true;
        faults.push_back(std::move(item));
    }
    return { { "faults", std::move(faults) } };
}

void serveUnderFault(const std::optional<Fault>& fault, ExchangePtr exchange, std::function<void(ExchangePtr)> serve)
{
    const auto kind = fault ? std::optional(fault->kind) : std::nullopt;
    if (kind == FaultKind::Outage) {
        exchange->answerError(503, "outage", "the service is down");
    } else if (kind == FaultKind::Refuse) {
        exchange->answerError(503, "overloaded", "the service takes no more work");
    } else if (kind == FaultKind::Drop) {
        exchange->drop();
    } else if (kind == FaultKind::Silent) {
        exchange->fallSilent();
    } else if (kind == FaultKind::Slow) {
        runAfter(fault->delay, [exchange = std::move(exchange), serve = std::move(serve)]() mutable { serve(std::move(exchange)); });
    } else {
        if (kind == FaultKind::LoseAnswer)
            exchange->loseAnswer();
        serve(std::move(exchange));
    }
}

void serveUnderFaults(FaultTable& faults, const std::string& target, ExchangePtr exchange, std::function<void(ExchangePtr)> serve)
{
    serveUnderFault(faults.take(target), std::move(exchange), std::move(serve));
}

} // namespace hornbeamgate::standins
