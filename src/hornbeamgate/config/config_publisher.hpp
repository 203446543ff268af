#pragma once

#include "hornbeamgate/config/config_events.hpp"
#include "hornbeamgate/config/config_state_machine.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hornbeamgate {

/// What an operator wants to publish.
struct PublishRequest {
    ProposalId id; ///< fresh random id; the same one when an earlier attempt with unknown outcome is repeated
    std::string author;
    std::optional<ConfigVersion> base; ///< version that the change builds on; nothing: whichever is current
    std::variant<RuleDocument, RuleDelta> change; ///< the whole new document or the lines that change
    MonotonicTime deadline; ///< when to give up
    std::string newRule {}; ///< name of a rule (`kind name`) that must not exist yet; empty: none
};

/// The change is accepted and is or will be in force everywhere.
struct PublishAccepted {
    ConfigVersion version;
    bool isRepeat = false; ///< an earlier attempt with the same id had been accepted already
};

/// Another change was accepted first; this one never will be.
struct PublishConflict {
    std::optional<AcceptedChange> winner; ///< nothing when it is no longer remembered
    ConfigVersion current;
};

/// The change was certainly not published.
struct PublishRefused {
    std::string reason;
};

/// The change may be accepted now or later. Repeating it with the same id is safe.
struct PublishUnknown {
    std::string reason;
};

/// The document already says what was asked for.
struct PublishUnchanged {
    ConfigVersion version;
};

using PublishOutcome = std::variant<PublishAccepted, PublishConflict, PublishRefused, PublishUnknown, PublishUnchanged>;

/// Reads the stream to its end, appends one proposal and finds out how the log's order judged it. A lost answer is
/// settled by reading; the proposal is appended again under the same id until the outcome is known or time is up. A
/// second copy can do no harm, since the first one to be accepted uses up the base version.
class ConfigPublisher {
public:
    explicit ConfigPublisher(PublishRequest request);

    /// Takes ConfigTimerExpired, ConfigLogRead and the append events; ignores all others.
    std::vector<ConfigAction> handle(const ConfigEvent& event, MonotonicTime now);

    MonotonicTime nextDeadline() const;

    /// Final outcome, or nothing while it is sought.
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
    void giveUp();
    std::optional<PublishOutcome> findOutcomeAfterAppend() const;
    std::optional<std::string> findRulesFault(const RuleDocument& document) const;

    PublishRequest m_request;
    ConfigStateMachine m_stateMachine;
    std::optional<ConfigProposal> m_proposal;
    bool m_isAppending = false;
    bool m_mayBeInLog = false; ///< some attempt was not refused for certain
    bool m_isLogReachable = false;
    AppendTicket m_ticket;
    std::optional<MonotonicTime> m_readDue = MonotonicTime {};
    std::optional<MonotonicTime> m_appendDue;
    std::optional<PublishOutcome> m_outcome;
    std::vector<ConfigAction> m_actions;
};

} // namespace hornbeamgate
