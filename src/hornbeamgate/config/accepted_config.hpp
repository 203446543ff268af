#pragma once

#include "hornbeamgate/config/rule_document.hpp"

#include <optional>
#include <variant>

namespace hornbeamgate {

/// Random identifier of a proposal. Retries of the same proposal reuse it.
using ProposalId = StrongName<struct ProposalTag>;

/// Number of recent accepted changes kept to determine the outcome of an earlier proposal.
inline constexpr std::size_t kMaxRecentChanges = 64;

/// Identifies an accepted change.
struct AcceptedChange {
    ConfigVersion version; ///< version created by the change
    ProposalId id;
    std::string author;

    bool operator==(const AcceptedChange&) const = default;
};

/// Accepted change with its content, in the form that peers exchange.
struct AcceptedStep {
    AcceptedChange change;
    RuleDelta delta;
    std::uint64_t digest = 0; ///< digest of the document after the change
    LogOffset position; ///< log offset following the accepted record

    bool operator==(const AcceptedStep&) const = default;
};

/// Configuration that results from replaying the log in order.
struct AcceptedConfig {
    ConfigVersion version; ///< 0 if nothing has been published yet
    LogOffset position; ///< every record before this offset has been processed
    RuleDocument document;
    std::uint64_t digest = RuleDocument {}.digest(ConfigVersion {});
    std::vector<AcceptedChange> recent; ///< oldest first, at most kMaxRecentChanges

    bool operator==(const AcceptedConfig&) const = default;
};

/// The proposal was accepted and created `version`.
struct ProposalAccepted {
    ConfigVersion version;

    bool operator==(const ProposalAccepted&) const = default;
};

/// Another change on the same base version was accepted first, so the proposal can never be accepted.
struct ProposalRejected {
    AcceptedChange winner;

    bool operator==(const ProposalRejected&) const = default;
};

/// The outcome cannot be determined: the changes that follow the proposal's base version are no longer kept.
struct ProposalOutcomeUnknown {
    bool operator==(const ProposalOutcomeUnknown&) const = default;
};

using ProposalOutcome = std::variant<ProposalAccepted, ProposalRejected, ProposalOutcomeUnknown>;

/// Returns the outcome of proposal `id` on version `base`, or nothing while it may still be accepted.
std::optional<ProposalOutcome> findProposalOutcome(const AcceptedConfig& config, const ProposalId& id, ConfigVersion base);

} // namespace hornbeamgate
