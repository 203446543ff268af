#pragma once

#include "hornbeamgate/config/config_events.hpp"
#include "hornbeamgate/config/config_state_machine.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hornbeamgate {

/// Describes a configuration change to be published.
struct PublishRequest {
    ProposalId id; ///< new random id; reused when retrying an attempt whose outcome is unknown
    std::string author;
    std::optional<ConfigVersion> base; ///< version that the change is based on; empty: the current version
    std::variant<RuleDocument, RuleDelta> change; ///< complete new document, or only the changed lines
    MonotonicTime deadline; ///< time after which publishing is abandoned
    std::string newRule {}; ///< name (`kind name`) of a rule that must not exist yet; empty: no such check
};

/// The change was accepted and takes effect on every daemon once it has been distributed.
struct PublishAccepted {
    ConfigVersion version;
    bool isRepeat = false; ///< an earlier attempt with the same id was already accepted
};

/// Another change on the same base version was accepted first, so this one can never be accepted.
struct PublishConflict {
    std::optional<AcceptedChange> winner; ///< empty if it is no longer kept in the history
    ConfigVersion current;
};

/// The change was definitely not published.
struct PublishRefused {
    std::string reason;
};

/// The change may have been accepted or may still be. Retrying with the same id is safe.
struct PublishUnknown {
    std::string reason;
};

/// The current document already contains the requested change.
struct PublishUnchanged {
    ConfigVersion version;
};

using PublishOutcome = std::variant<PublishAccepted, PublishConflict, PublishRefused, PublishUnknown, PublishUnchanged>;

/// Publishes one change: reads the stream to its end, appends a proposal and determines from the log order whether it
/// was accepted. If the response to an append is lost, the outcome is determined by reading the log. The proposal is
/// appended again with the same id until the outcome is known or the deadline expires. Duplicates are harmless: once one
/// copy is accepted, the base version of the others is no longer current.
class ConfigPublisher {
public:
    explicit ConfigPublisher(PublishRequest request);

    /// Handles ConfigTimerExpired, ConfigLogRead and the append events; ignores all others.
    std::vector<ConfigAction> handle(const ConfigEvent& event, MonotonicTime now);

    MonotonicTime nextDeadline() const;

    /// Final outcome, or nothing while publishing is in progress.
    const std::optional<PublishOutcome>& outcome() const { return m_outcome; }

    const AcceptedConfig& accepted() const { return m_stateMachine.accepted(); }

private:
    void on(const ConfigTimerExpired&, MonotonicTime now);
    void on(const ConfigLogRead& event, MonotonicTime now);
    void on(const AppendSucceeded& event, MonotonicTime now);
    void on(const AppendRefused& event, MonotonicTime now);
    void on(const AppendOutcomeUnknown& event, MonotonicTime now);
    template <typename Other>
    void on(const Other&, MonotonicTime)
    {
    }

    void prepareProposal();
    void updateOutcome();
    std::optional<PublishOutcome> findOutcomeBeforeAppend(ConfigVersion base) const;
    void append();
    void handleDeadline();
    std::optional<PublishOutcome> findOutcomeAfterAppend() const;
    std::optional<std::string> findRulesFault(const RuleDocument& document) const;

    PublishRequest m_request;
    ConfigStateMachine m_stateMachine;
    std::optional<ConfigProposal> m_proposal;
    bool m_isAppending = false;
    bool m_mayBeInLog = false; ///< at least one append succeeded or has an unknown outcome
    bool m_isLogReachable = false;
    AppendTicket m_ticket;
    std::optional<MonotonicTime> m_readDue = MonotonicTime {};
    std::optional<MonotonicTime> m_appendDue;
    std::optional<PublishOutcome> m_outcome;
    std::vector<ConfigAction> m_actions;
};

} // namespace hornbeamgate
