#pragma once

#include "hornbeamctl_options.hpp"
#include "hornbeamctl_rollout.hpp"
#include "hornbeamgate/config/config_publisher.hpp"

#include <iosfwd>

namespace hornbeamgate::ctl {

/// Prints what commands found, as text or as one JSON object.
class Report {
public:
    Report(std::ostream& out, std::ostream& errors, bool isJson)
        : m_out(out)
        , m_errors(errors)
        , m_isJson(isJson)
    {
    }

    ExitCode usageError(const std::string& detail) const;
    ExitCode notDone(const std::string& detail) const;
    ExitCode ruleFaults(const std::string& file, const std::vector<RuleFault>& faults) const;
    ExitCode checked(const std::string& file, std::size_t rules) const;
    ExitCode config(const AcceptedConfig& config) const;
    ExitCode difference(const AcceptedConfig& config, const RuleDocument& target) const;
    ExitCode status(const AcceptedConfig& config, const std::optional<ProposalId>& proposal) const;
    ExitCode outcome(const PublishOutcome& outcome, const ProposalId& proposal) const;
    ExitCode issued(const PublishOutcome& outcome, const ProposalId& proposal, const std::string& key, const std::string& secret) const;
    ExitCode dump(const std::string& body) const;
    ExitCode rollout(const RolloutRecords& records) const;
    /// `done` says what became of the order if the change was stored.
    ExitCode rolloutChange(const std::string& done, const Result<LogOffset, std::string>& change) const;

private:
    std::ostream& m_out;
    std::ostream& m_errors;
    bool m_isJson;
};

} // namespace hornbeamgate::ctl
