#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/event_log/store_era.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

namespace hornbeamgate::gateway {

/// Order that a rollout leader may have sent.
struct RecordedOrder {
    HostId host; ///< of the leader
    LogOffset requestedAt; ///< offset of the record that first listed the order; no two requests share one

    bool operator==(const RecordedOrder&) const = default;
};

/// Record in the store of the orders that rollout leaders may have sent recently.
struct OrderRecord {
    FencingToken token; ///< of the leader that wrote the record
    HostId leader;
    std::map<EndpointId, RecordedOrder> orders;

    bool operator==(const OrderRecord&) const = default;
};

/// Age of a recorded order, as one daemon tells another.
struct OrderAge {
    EndpointId endpoint;
    LogOffset requestedAt;
    std::chrono::milliseconds age {};

    bool operator==(const OrderAge&) const = default;
};

/// Newest order record, and the offset at which the next one is appended.
struct OrderRecordPosition {
    std::optional<OrderRecord> record; ///< empty if there is none, or it can't be read
    LogOffset end;
    bool isUnreadable = false; ///< there is a record, and its orders may be recent
};

/// Tells a new rollout leader which engines may still receive orders of its predecessor, however that one ended.
///
/// A leader names the engines in the store before it sends them orders, and sends an order only for a short time after
/// its record was requested. Its successor reads the newest record and appends one of its own at the offset it read, after
/// which every append of the predecessor fails. Only the engines in the record must then wait for the predecessor's lease;
/// all others receive orders immediately. The predecessor's reports tell how old its orders are; an order whose age was not
/// heard counts as just sent. A host never waits for its own orders, even after a restart.
///
/// A store that comes back from an older copy may have lost the newest records. A leader that reads a record of an earlier
/// era therefore names all engines in its claim, as long as an order of a lost record may be less than a lease old.
///
/// Designed for leaders that are frozen, killed or cut off in the middle of a rollout, for a power cut of all daemons, and for
/// a store that loses its newest records.
class OrderJournal {
public:
    /// An order may be sent for this long after its record was requested.
    static constexpr std::chrono::milliseconds kRecordValidity { 500 };
    /// Time for an order to reach its engine, added to the lease.
    static constexpr std::chrono::milliseconds kOrderTransitTime { 500 };

    struct Read { };
    struct Append {
        OrderRecord record;
        LogOffset at; ///< the append must fail if the journal does not end here
    };
    using Call = std::variant<Read, Append>;

    /// Stands for all engines in a record, for orders of which no record is left.
    static const EndpointId kAllEndpoints;

    OrderJournal(HostId self, Duration lease)
        : m_self(std::move(self))
        , m_lease(lease)
    {
    }

    /// Starts to take the journal over from the previous leader.
    void takeOver(FencingToken token);
    /// Changes the token of a leadership that continues.
    void setToken(FencingToken token) { m_token = token; }
    /// Ends the leadership; the journal makes no more calls.
    void release() { m_step = Step::Released; }

    /// Requests that `endpoint` be recorded, so that an order may be sent to it.
    void request(const EndpointId& endpoint) { m_requested.insert(endpoint); }
    /// Withdraws a request.
    void cancel(const EndpointId& endpoint) { m_requested.erase(endpoint); }

    /// Returns the store call to make now. The next one is returned only after the result of this one is known.
    std::optional<Call> takeCall(MonotonicTime now);
    /// Records that the store is in `era`. The orders whose records it has lost by its return were requested before `now`.
    void recordEra(StoreEra era, MonotonicTime now);
    /// Handles the result of a read; no value means that it failed.
    void onRead(const std::optional<OrderRecordPosition>& position, MonotonicTime now);
    /// Handles the result of an append: the end of the journal after it. No value means that it failed or that its outcome
    /// is unknown.
    void onAppended(const std::optional<LogOffset>& end, MonotonicTime now);

    /// Handles the record that this daemon finds after its start at `start`: this host's orders were sent before it.
    void onRecordFound(const OrderRecord& record, MonotonicTime start);
    /// Handles the ages of orders that another daemon reports.
    void onPeerOrders(const std::vector<OrderAge>& orders, MonotonicTime now);
    /// Returns the ages of the orders that may be less than a lease old, as this daemon knows them as leader.
    std::vector<OrderAge> recentOrders(MonotonicTime now) const;
    /// Returns the ages of recent orders that other daemons reported, for a leader that did not hear them.
    std::vector<OrderAge> heardOrders(MonotonicTime now) const;
    /// Returns true while this daemon, as a new leader, lacks the ages of orders that other daemons may have heard.
    bool isAskingForAges(MonotonicTime now) const { return isOwned() && now < m_askUntil; }

    /// Returns true once the predecessor can no longer record orders.
    bool isOwned() const { return m_step == Step::Owned; }
    /// Returns true if another leader with a newer token has taken the journal over.
    bool isSuperseded() const { return m_step == Step::Superseded; }
    /// Returns true while an order of a predecessor to `endpoint` may be less than a lease old.
    bool isBlocked(const EndpointId& endpoint, MonotonicTime now) const;
    /// Returns true if `endpoint` is recorded and its record is recent enough to send an order.
    bool isRecorded(const EndpointId& endpoint, MonotonicTime now) const;

private:
    enum class Step {
        Released, ///< this daemon is not the leader
        Unread, ///< the newest record, of this daemon or another, is not known
        Claiming, ///< the newest record is known; a predecessor's appends still succeed
        Owned,
        Superseded,
    };

    struct KnownOrder {
        RecordedOrder order;
        MonotonicTime listedUntil; ///< when another leader may send an order to the engine
    };

    /// Returns how long after a record an order that it covers may still count against another leader's order.
    Duration exclusion() const { return kRecordValidity + m_lease + kOrderTransitTime; }
    bool isOrderedByOthers(const EndpointId& endpoint, MonotonicTime now) const;
    /// Returns what stands for the orders of which a read of the journal has found no record.
    std::optional<KnownOrder> unrecordedOrders(const OrderRecordPosition& position, MonotonicTime now) const;
    OrderRecord currentRecord() const;
    void finishClaim(MonotonicTime now);
    OrderAge ageOf(const EndpointId& endpoint, LogOffset requestedAt, MonotonicTime listedUntil, MonotonicTime now) const;
    void discardExpired(MonotonicTime now);

    HostId m_self;
    Duration m_lease;
    Step m_step = Step::Released;
    FencingToken m_token;
    /// Tokens of the records that this process has written. A token alone does not tell its records from those of an earlier
    /// process on this host, whose leadership may have continued.
    std::set<FencingToken> m_writtenTokens;
    LogOffset m_end;
    bool m_isCallPending = false;
    bool m_isResultStale = false; ///< the pending call was made before the last takeover
    MonotonicTime m_nextCallAt {};
    OrderRecord m_written; ///< last record whose append succeeded
    std::set<EndpointId> m_requested;
    std::set<EndpointId> m_inAppend; ///< requested endpoints in the pending append
    MonotonicTime m_appendRequestedAt {};
    FencingToken m_appendToken; ///< of the pending append
    std::map<EndpointId, MonotonicTime> m_usableUntil; ///< recorded endpoints to which an order may be sent
    std::map<EndpointId, KnownOrder> m_orders; ///< of this daemon and its predecessors
    std::map<EndpointId, RecordedOrder> m_unclaimedOrders; ///< read from the predecessor's record, until the claim
    /// When another leader may send an order to the engine, by engine and request. A request that a leader could not record
    /// does not replace the one before it.
    std::map<std::pair<EndpointId, LogOffset>, MonotonicTime> m_heardOrders;
    MonotonicTime m_askUntil {};
    std::optional<KnownOrder> m_unrecorded; ///< stands for the orders of which no record is left, if there may be any
    StoreEra m_era; ///< newest one of the store that this process has seen
    std::optional<MonotonicTime> m_eraSeenAt;
    StoreEra m_claimedEra; ///< newest one in which this process knows of a leader's record
};

} // namespace hornbeamgate::gateway
