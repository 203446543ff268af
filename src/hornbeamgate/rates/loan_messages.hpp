#pragma once

#include "hornbeamgate/base/bytes.hpp"
#include "hornbeamgate/base/cbor.hpp"
#include "hornbeamgate/rates/share_layout.hpp"

#include <optional>
#include <variant>
#include <vector>

namespace hornbeamgate {

/// End of a loan; the borrower debited `returned` before it sent this. When requests that reserved from the loan still
/// run, a second closure with nothing unsettled may return what they did not use.
struct LoanClosure {
    LoanId id;
    WorkspaceId workspace;
    std::uint32_t share = 0; ///< index into the shares of the workspace
    Amounts returned;
    std::int64_t unsettledTokens = 0;

    bool operator==(const LoanClosure&) const = default;
};

/// Who borrows and why. Other homes borrow to move tokens to where they are asked for and leave half to the lender.
enum class LoanPurpose : std::uint8_t { Spend,
    Transfer };

/// Asks the home of a share for a loan.
struct LoanRequest {
    HostId borrower;
    std::uint64_t sequence = 0; ///< unique per process of the borrower; starts at a number chosen at random
    WorkspaceId workspace;
    std::uint32_t share = 0;
    LoanPurpose purpose = LoanPurpose::Spend;
    Amounts minimum; ///< less is of no use
    Amounts wanted;
    std::vector<LoanClosure> closures; ///< loans of the same home that have ended

    bool operator==(const LoanRequest&) const = default;
};

enum class LoanStatus : std::uint8_t { Granted,
    Insufficient,
    NotHome };

/// Answer to the request with the same sequence.
struct LoanReply {
    std::uint64_t sequence = 0;
    LoanStatus status = LoanStatus::NotHome;
    LoanId id;
    Amounts amount;
    std::chrono::milliseconds lifetime {}; ///< counted from before the request was sent
    std::chrono::milliseconds retryAfter {}; ///< until the minimum may be there, when insufficient

    bool operator==(const LoanReply&) const = default;
};

/// Ends loans without asking for another. Needs no answer.
struct LoanClosures {
    HostId borrower;
    std::vector<LoanClosure> closures;

    bool operator==(const LoanClosures&) const = default;
};

/// Asks a daemon which hosts hold the shards, when the log cannot be read.
struct ShardHomesRequest {
    HostId from;

    bool operator==(const ShardHomesRequest&) const = default;
};

/// Host that held a shard when the sender last read the log. May be outdated; the host itself knows better.
struct ShardHome {
    ShardId shard;
    HostId host;

    bool operator==(const ShardHome&) const = default;
};

struct ShardHomesReply {
    std::vector<ShardHome> homes;

    bool operator==(const ShardHomesReply&) const = default;
};

/// Body of a message on `/control/rates`.
using LoanMessage = std::variant<LoanRequest, LoanReply, LoanClosures, ShardHomesRequest, ShardHomesReply>;

/// Largest number of closures in one message.
inline constexpr std::size_t kMaxLoanClosures = 64;

Bytes encodeLoanMessage(const LoanMessage& message);

/// Checks every field; a message that decodes is within bounds.
Result<LoanMessage, CodecError> decodeLoanMessage(BytesView bytes);

} // namespace hornbeamgate
