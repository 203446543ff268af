#pragma once

#include "hornbeamgate/config/rule_document.hpp"

#include <optional>
#include <variant>

namespace hornbeamgate {

/// Random identity of one proposal; a retry carries the same.
using ProposalId = StrongName<struct ProposalTag>;

/// Number of accepted changes that are remembered so that a proposal's outcome can be told later.
inline constexpr std::size_t kMaxRecentChanges = 64;

/// Identity of one accepted change.
struct AcceptedChange {
    ConfigVersion version; ///< version that the change made
    ProposalId id;
    std::string author;

    bool operator==(const AcceptedChange&) const = default;
};

/// Accepted change with its content, as passed on among peers.
struct AcceptedStep {
    AcceptedChange change;
    RuleDelta delta;
    std::uint64_t digest = 0; ///< of the document after the change
    LogOffset position; ///< offset after the record that was accepted

    bool operator==(const AcceptedStep&) const = default;
};

/// Configuration that the log's order has accepted.
struct AcceptedConfig {
    ConfigVersion version; ///< 0: nothing was ever published
    LogOffset position; ///< every record before this offset has been judged
    RuleDocument document;
    std::uint64_t digest = RuleDocument {}.digest(ConfigVersion {});
    std::vector<AcceptedChange> recent; ///< oldest first, at most kMaxRecentChanges

    bool operator==(const AcceptedConfig&) const = default;
};

/// The proposal is accepted and made `version`.
struct ProposalAccepted {
    ConfigVersion version;

    bool operator==(const ProposalAccepted&) const = default;
};

/// Another change was accepted first; the proposal can never be accepted.
struct ProposalRejected {
    AcceptedChange winner;

    bool operator==(const ProposalRejected&) const = default;
};

/// The changes after the proposal's base are no longer remembered.
struct ProposalOutcomeUnknown {
    bool operator==(const ProposalOutcomeUnknown&) const = default;
};

using ProposalOutcome = std::variant<ProposalAccepted, ProposalRejected, ProposalOutcomeUnknown>;

/// Verdict on a proposal that builds on `base`, or nothing while it may still be accepted.
std::optional<ProposalOutcome> findProposalOutcome(const AcceptedConfig& config, const ProposalId& id, ConfigVersion base);

} // namespace hornbeamgate
