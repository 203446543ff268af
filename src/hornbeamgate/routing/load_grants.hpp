#pragma once

#include "hornbeamgate/base/bytes.hpp"
#include "hornbeamgate/base/cbor.hpp"
#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/event_log/log_events.hpp"
#include "hornbeamgate/routing/router.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace hornbeamgate {

enum class WeightsLoadStep {
    Request, ///< an agent requests a slot; the record's offset becomes the fencing token
    Start, ///< the holder of a granted slot is about to start the load
    Finish, ///< the load ended or is no longer needed
    Expire, ///< a reader saw no progress since the step in `lastStep`
};

/// Record of the log stream `loads`. `lastStep` is unused for `Request`.
struct WeightsLoadRecord {
    WeightsLoadStep step = WeightsLoadStep::Request;
    EndpointId endpoint;
    ServedModel model;
    /// For `Request`: that of the position up to which the log was read. The record has no effect in a later era of the log.
    FencingToken token;
    /// For `Expire`: the last step that the writer saw. The record has no effect if a later step precedes it in the log.
    WeightsLoadStep lastStep = WeightsLoadStep::Request;
};

Bytes encodeWeightsLoadRecord(const WeightsLoadRecord& record);
Result<WeightsLoadRecord, CodecError> decodeWeightsLoadRecord(BytesView bytes);

struct LoadGrantOptions {
    std::size_t slots = 3;
    /// Time after which a reader proposes to expire a granted slot whose load was not started.
    Duration startTimeout = std::chrono::seconds(10);
    /// Time after which a reader proposes to expire a started load. Must be longer than the holder's start window and the load
    /// together.
    Duration loadTimeout = std::chrono::seconds(60);
};

/// Requested load that has not ended.
struct WeightsLoadRequest {
    EndpointId endpoint;
    ServedModel model;
    bool started = false;
    bool granted = false;
    MonotonicTime expiresAt; ///< in this reader's clock; valid while granted
};

/// Replicated state of the slots for weights loads, computed by each reader of the log: the oldest open requests hold the slots.
/// Only the order of the log decides; clocks are only used to propose the expiry of a slot whose holder makes no progress.
class LoadGrants {
public:
    explicit LoadGrants(LoadGrantOptions options);

    /// Applies one record. Records before the position and records that cannot be decoded are ignored.
    void apply(const LogRecord& record, MonotonicTime now);

    /// Skips records that were trimmed, or that a log which has come back from an older copy has lost. Requests whose records are
    /// gone are dropped and must be made again.
    void skipTo(LogOffset first, MonotonicTime now);

    /// Returns the offset of the next record to read.
    LogOffset position() const { return m_next; }
    std::optional<FencingToken> openRequestOf(const EndpointId& endpoint) const;
    const WeightsLoadRequest* find(FencingToken token) const;
    std::size_t granted() const;

    /// Returns records that propose the expiry of the slots whose holders made no progress in time.
    std::vector<WeightsLoadRecord> proposeExpiries(MonotonicTime now);
    std::optional<MonotonicTime> nextDeadline() const;

private:
    void grantSlots(MonotonicTime now);
    void applyStep(const WeightsLoadRecord& record, LogOffset offset, MonotonicTime now);

    LoadGrantOptions m_options;
    LogOffset m_next;
    std::map<FencingToken, WeightsLoadRequest> m_requests;
};

} // namespace hornbeamgate
