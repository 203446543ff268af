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
    Request, ///< an engine asks for a slot; the record's offset becomes the token
    Start, ///< the holder of a granted slot is about to order the load
    Finish, ///< the load is over, or no longer wanted
    Expire, ///< a reader saw no progress since the step that it names
};

/// Record of the log stream `loads`. `token` and `seen` mean nothing for `Request`.
struct WeightsLoadRecord {
    WeightsLoadStep step = WeightsLoadStep::Request;
    EndpointId endpoint;
    ServedModel model;
    FencingToken token;
    WeightsLoadStep lastStep = WeightsLoadStep::Request; ///< for `Expire`: the last step seen; void when a later one came first
};

Bytes encodeWeightsLoadRecord(const WeightsLoadRecord& record);
Result<WeightsLoadRecord, CodecError> decodeWeightsLoadRecord(BytesView bytes);

struct LoadGrantOptions {
    std::size_t slots = 3;
    /// Time after which a reader lets a granted slot expire that its holder does not start.
    Duration startTimeout = std::chrono::seconds(10);
    /// Time after which a reader lets a started load expire; longer than a holder's start window and a load together.
    Duration loadTimeout = std::chrono::seconds(60);
};

/// One load that has been asked for and is not over.
struct WeightsLoadRequest {
    EndpointId endpoint;
    ServedModel model;
    bool started = false;
    bool granted = false;
    MonotonicTime expiresAt; ///< on this reader's clock, while granted
};

/// Slots for weight loads as every reader of the log computes them: the oldest open requests hold the slots. Log order
/// alone decides; clocks only tell a reader when to propose that a silent holder loses its slot.
class LoadGrants {
public:
    explicit LoadGrants(LoadGrantOptions options);

    /// Applies one record; records at or before the position are ignored, and so are records that do not decode.
    void apply(const LogRecord& record, MonotonicTime now);

    /// Continues after trimmed records. Requests whose records were trimmed are forgotten and must be asked for again.
    void skipTo(LogOffset first, MonotonicTime now);

    /// Offset of the next record to read.
    LogOffset position() const { return m_next; }
    std::optional<FencingToken> openRequestOf(const EndpointId& endpoint) const;
    const WeightsLoadRequest* find(FencingToken token) const;
    std::size_t granted() const;

    /// Records by which this reader proposes that silent holders lose their slots.
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
