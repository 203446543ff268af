#include "hornbeamctl_report.hpp"

#include "hornbeamgate/runtime/gateway/rollout_names.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ostream>
#include <sstream>

namespace hornbeamgate::ctl {
namespace {

    using nlohmann::json;

    /// Outcome of a publication in all the forms that it is printed in.
    struct OutcomeReport {
        ExitCode code;
        const char* word;
        std::string text;
        std::optional<ConfigVersion> version;
        std::optional<AcceptedChange> winner;
    };

    std::string numberOf(ConfigVersion version) { return std::to_string(version.value()); }

    OutcomeReport describe(const PublishAccepted& accepted, const ProposalId&)
    {
        const auto* earlier = accepted.isRepeat ? " (by an earlier attempt)" : "";
        return { ExitCode::Done, "accepted", "accepted as version " + numberOf(accepted.version) + earlier, accepted.version, {} };
    }

    OutcomeReport describe(const PublishConflict& lost, const ProposalId&)
    {
        std::string text = "not accepted: the change builds on an old version; the current one is " + numberOf(lost.current);
        if (lost.winner)
            text += "; version " + numberOf(lost.winner->version) + " was published by " + lost.winner->author;
        text += "; run show, merge and publish again";
        return { ExitCode::LostRace, "lost", std::move(text), lost.current, lost.winner };
    }

    OutcomeReport describe(const PublishRefused& refused, const ProposalId&)
    {
        return { ExitCode::NotDone, "refused", "not published: " + refused.reason, {}, {} };
    }

    OutcomeReport describe(const PublishUnknown& unknown, const ProposalId& proposal)
    {
        return { ExitCode::OutcomeUnknown, "unknown",
            "unknown whether the change is or will be accepted: " + unknown.reason + "; repeat the command with --proposal " + proposal.value(), {}, {} };
    }

    OutcomeReport describe(const PublishUnchanged& unchanged, const ProposalId&)
    {
        return { ExitCode::Done, "unchanged", "version " + numberOf(unchanged.version) + " already says this", unchanged.version, {} };
    }

    json toJson(const AcceptedChange& change)
    {
        return { { "version", change.version.value() }, { "proposal", change.id.value() }, { "author", change.author } };
    }

    json toJson(const OutcomeReport& report, const ProposalId& proposal)
    {
        json object { { "outcome", report.word }, { "detail", report.text }, { "proposal", proposal.value() } };
        if (report.version)
            object["version"] = report.version->value();
        if (report.winner)
            object["winner"] = toJson(*report.winner);
        return object;
    }

    json recentChanges(const AcceptedConfig& config)
    {
        auto changes = json::array();
        for (const auto& change : config.recent)
            changes.push_back(toJson(change));
        return changes;
    }

    /// Octets that are no UTF-8 are replaced, so that printing never fails.
    std::string printable(const json& object)
    {
        return object.dump(2, ' ', false, json::error_handler_t::replace);
    }

    OutcomeReport describeOutcome(const PublishOutcome& outcome, const ProposalId& proposal)
    {
        return std::visit([&](const auto& content) { return describe(content, proposal); }, outcome);
    }

} // namespace

ExitCode Report::usageError(const std::string& detail) const
{
    m_errors << "hornbeamctl: " << detail << "\nTry 'hornbeamctl --help'.\n";
    return ExitCode::UsageError;
}

ExitCode Report::notDone(const std::string& detail) const
{
    m_errors << "hornbeamctl: " << detail << '\n';
    return ExitCode::NotDone;
}

ExitCode Report::ruleFaults(const std::string& file, const std::vector<RuleFault>& faults) const
{
    if (m_isJson) {
        auto items = json::array();
        for (const auto& fault : faults)
            items.push_back({ { "line", fault.line }, { "column", fault.column }, { "text", fault.text } });
        m_out << printable({ { "file", file }, { "faults", std::move(items) } }) << '\n';
        return ExitCode::FaultyRules;
    }
    for (const auto& fault : faults)
        m_errors << file << ':' << fault.line << ':' << fault.column << ": " << fault.text << '\n';
    return ExitCode::FaultyRules;
}

ExitCode Report::checked(const std::string& file, std::size_t rules) const
{
    if (m_isJson)
        m_out << printable({ { "file", file }, { "faults", json::array() }, { "rules", rules } }) << '\n';
    else
        m_out << file << ": " << rules << " rules, no faults\n";
    return ExitCode::Done;
}

ExitCode Report::config(const AcceptedConfig& config) const
{
    if (m_isJson)
        m_out << printable({ { "version", config.version.value() }, { "rules", config.document.lines() } }) << '\n';
    else
        m_out << "# version " << config.version.value() << '\n'
              << config.document.text();
    return ExitCode::Done;
}

ExitCode Report::difference(const AcceptedConfig& config, const RuleDocument& target) const
{
    const auto delta = config.document.deltaTo(target);
    const auto back = target.deltaTo(config.document);
    if (m_isJson) {
        m_out << printable({ { "version", config.version.value() }, { "removed", back.put }, { "added", delta.put } }) << '\n';
    } else {
        for (const auto& line : back.put)
            m_out << "- " << line << '\n';
        for (const auto& line : delta.put)
            m_out << "+ " << line << '\n';
    }
    return delta.empty() ? ExitCode::Done : ExitCode::Differs;
}

ExitCode Report::status(const AcceptedConfig& config, const std::optional<ProposalId>& proposal) const
{
    const auto found = std::find_if(config.recent.begin(), config.recent.end(), [&](const auto& change) { return proposal && change.id == *proposal; });
    const bool isFound = found != config.recent.end();
    if (m_isJson) {
        json object { { "version", config.version.value() }, { "rules", config.document.size() }, { "recent", recentChanges(config) } };
        if (proposal)
            object["proposal"] = { { "id", proposal->value() }, { "accepted", isFound } };
        m_out << printable(object) << '\n';
        return ExitCode::Done;
    }
    m_out << "version " << config.version.value() << ", " << config.document.size() << " rules\n";
    for (const auto& change : config.recent)
        m_out << "version " << change.version.value() << " by " << change.author << ", proposal " << change.id.value() << '\n';
    if (proposal && isFound)
        m_out << "proposal " << proposal->value() << " is accepted as version " << found->version.value() << '\n';
    else if (proposal)
        m_out << "proposal " << proposal->value() << " is not among the last " << kMaxRecentChanges << " accepted changes\n";
    return ExitCode::Done;
}

ExitCode Report::outcome(const PublishOutcome& outcome, const ProposalId& proposal) const
{
    const auto report = describeOutcome(outcome, proposal);
    if (m_isJson)
        m_out << printable(toJson(report, proposal)) << '\n';
    else
        (report.code == ExitCode::Done ? m_out : m_errors) << report.text << '\n';
    return report.code;
}

ExitCode Report::issued(const PublishOutcome& outcome, const ProposalId& proposal, const std::string& key, const std::string& secret) const
{
    const auto report = describeOutcome(outcome, proposal);
    if (report.code != ExitCode::Done) {
        if (report.code == ExitCode::OutcomeUnknown)
            m_errors << "key " << key << " may have been published; its secret is discarded. Withdraw it and issue another.\n";
        return this->outcome(outcome, proposal);
    }
    if (m_isJson) {
        auto object = toJson(report, proposal);
        object["key"] = key;
        object["secret"] = secret;
        m_out << printable(object) << '\n';
        return ExitCode::Done;
    }
    m_out << "key " << key << ' ' << report.text << "\nsecret " << secret << "\nThe secret is shown only now.\n";
    return ExitCode::Done;
}

ExitCode Report::dump(const std::string& body) const
{
    m_out << body;
    if (!body.ends_with('\n'))
        m_out << '\n';
    return ExitCode::Done;
}

ExitCode Report::rollout(const RolloutRecords& records) const
{
    json object = json::object();
    std::string text = "no order\n";
    if (const auto& order = records.order) {
        const auto seconds = std::chrono::duration<double>(order->duration).count();
        object["order"] = { { "offset", offsetInEra(order->offset) }, { "to", order->version }, { "duration_s", seconds } };
        std::ostringstream line;
        line << "order " << offsetInEra(order->offset) << ": to " << order->version << " within " << seconds << " s\n";
        text = line.str();
    }
    if (const auto& status = records.status) {
        const std::string state(gateway::nameOf(status->state));
        const std::string phase(gateway::nameOf(status->phase));
        object["state"] = { { "order", offsetInEra(status->order) }, { "to", status->version }, { "state", state }, { "phase", phase } };
        text += "state of order " + std::to_string(offsetInEra(status->order)) + ": " + state + (status->state == gateway::RolloutState::Running ? ", " + phase : std::string()) + ", to " + status->version + '\n';
    } else {
        text += "no state\n";
    }
    if (m_isJson)
        m_out << printable(object) << '\n';
    else
        m_out << text;
    return ExitCode::Done;
}

ExitCode Report::rolloutChange(const std::string& done, const Result<LogOffset, std::string>& change) const
{
    const auto word = change ? done : std::string("unknown");
    if (m_isJson) {
        json object { { "outcome", word } };
        if (change)
            object["offset"] = change->value();
        else
            object["detail"] = change.error();
        m_out << printable(object) << '\n';
    } else if (change) {
        m_out << done << " at offset " << change->value() << '\n';
    } else {
        m_errors << "hornbeamctl: unknown whether the store has the change or will have it: " << change.error() << "; rollout status shows it\n";
    }
    return change ? ExitCode::Done : ExitCode::OutcomeUnknown;
}

} // namespace hornbeamgate::ctl
