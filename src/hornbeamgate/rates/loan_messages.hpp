#pragma once

#include "hornbeamgate/base/bytes.hpp"
#include "hornbeamgate/base/cbor.hpp"
#include "hornbeamgate/rates/share_layout.hpp"

#include <optional>
#include <variant>
#include <vector>

namespace hornbeamgate {

/// Closes a loan. The borrower debits `returned` before it sends the closure. If requests that reserved from the loan are
/// still running, a second closure without unsettled tokens may return what they did not use.
struct LoanClosure {
    LoanId id;
    WorkspaceId workspace;
    std::uint32_t share = 0; ///< index into the shares of the workspace
    Amounts returned;
    std::int64_t unsettledTokens = 0;

    bool operator==(const LoanClosure&) const = default;
};

/// Purpose of a loan. A borrower spends it. Another lender transfers it to an account with more demand and leaves half of
/// the burst with the lending account.
enum class LoanPurpose : std::uint8_t { Spend,
    Transfer };

/// Requests a loan from the home of a share, which is the host that holds the share's shard.
struct LoanRequest {
    HostId borrower;
    std::uint64_t sequence = 0; ///< unique within the borrower's process; starts at a random number
    WorkspaceId workspace;
    std::uint32_t share = 0;
    LoanPurpose purpose = LoanPurpose::Spend;
    Amounts minimum; ///< a smaller loan is useless to the borrower
    Amounts wanted;
    std::vector<LoanClosure> closures; ///< of earlier loans from the same home

    bool operator==(const LoanRequest&) const = default;
};

enum class LoanStatus : std::uint8_t { Granted,
    Insufficient,
    NotHome };

/// Reply to the request with the same sequence number.
struct LoanReply {
    std::uint64_t sequence = 0;
    LoanStatus status = LoanStatus::NotHome;
    LoanId id;
    Amounts amount;
    std::chrono::milliseconds lifetime {}; ///< measured from before the request was sent
    std::chrono::milliseconds retryAfter {}; ///< if insufficient: time until the minimum may be available

    bool operator==(const LoanReply&) const = default;
};

/// Closes loans without requesting a new one. There is no reply.
struct LoanClosures {
    HostId borrower;
    std::vector<LoanClosure> closures;

    bool operator==(const LoanClosures&) const = default;
};

/// Asks a daemon which hosts hold the shards while the log is unreachable.
struct ShardHomesRequest {
    HostId from;

    bool operator==(const ShardHomesRequest&) const = default;
};

/// Host that held a shard when the sender last read the log. May be out of date; the host itself is authoritative.
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

/// Maximum number of closures in one message.
inline constexpr std::size_t kMaxLoanClosures = 64;

Bytes encodeLoanMessage(const LoanMessage& message);

/// Validates every field; the values of a decoded message are within bounds.
Result<LoanMessage, CodecError> decodeLoanMessage(BytesView bytes);

} // namespace hornbeamgate
