#include "hornbeamgate/gateway/order_journal.hpp"

#include <algorithm>
#include <utility>

namespace hornbeamgate::gateway {

namespace {

    /// Delay between a failed store call and the next one.
    constexpr std::chrono::milliseconds kRetryDelay { 200 };
    /// Time for which a new leader asks the others for the ages of orders: a few reports, since some may be lost.
    constexpr std::chrono::milliseconds kAgeRequestTime { 1000 };
    /// A leader that does not reach the store cannot remove orders from its record, so their ages are remembered longer
    /// than an outage usually lasts.
    constexpr std::chrono::seconds kHeardOrderRetention { 60 };

} // namespace

const EndpointId OrderJournal::kAllEndpoints {};

void OrderJournal::takeOver(FencingToken token)
{
    m_token = token;
    m_step = Step::Unread;
    m_isResultStale = m_isCallPending;
    m_nextCallAt = {};
    m_requested.clear();
    m_usableUntil.clear();
    m_unclaimedOrders.clear();
    m_unrecorded.reset();
}

void OrderJournal::recordEra(StoreEra era, MonotonicTime now)
{
    if (m_eraSeenAt && era <= m_era)
        return;
    m_era = era;
    m_eraSeenAt = now;
    if (era > StoreEra())
        m_heardOrders.try_emplace({ kAllEndpoints, lastBefore(era) }, now + exclusion());
}

std::optional<OrderJournal::Call> OrderJournal::takeCall(MonotonicTime now)
{
    if (m_isCallPending || now < m_nextCallAt || m_step == Step::Released || m_step == Step::Superseded)
        return std::nullopt;
    if (m_step == Step::Unread) {
        m_isCallPending = true;
        return Read {};
    }
    discardExpired(now);
    // An emptied record spares the next leader the wait for orders that are long over.
    if (m_step == Step::Owned && m_requested.empty() && (m_written.orders.empty() || !m_orders.empty()))
        return std::nullopt;
    m_isCallPending = true;
    m_appendRequestedAt = now;
    m_appendToken = m_token;
    m_inAppend = m_step == Step::Owned ? m_requested : std::set<EndpointId> {};
    for (const auto& endpoint : m_inAppend)
        m_orders[endpoint] = { { m_self, m_end }, now + exclusion() };
    if (m_step == Step::Claiming && m_unrecorded && now < m_unrecorded->listedUntil)
        m_orders[kAllEndpoints] = *m_unrecorded;
    return Append { currentRecord(), m_end };
}

void OrderJournal::onRead(const std::optional<OrderRecordPosition>& position, MonotonicTime now)
{
    m_isCallPending = false;
    if (std::exchange(m_isResultStale, false) || m_step == Step::Released)
        return;
    if (!position) {
        m_nextCallAt = now + kRetryDelay;
        return;
    }
    if (position->record && position->record->token > m_token) {
        m_step = Step::Superseded;
        return;
    }
    m_end = position->end;
    // The claim moves the end of the journal, so that no two requests are made at the same offset.
    m_step = Step::Claiming;
    recordEra(eraOf(position->end), now);
    m_unrecorded = unrecordedOrders(*position, now);
    const auto& record = position->record;
    const bool isOfThisEra = record && eraOf(record->token) == m_era;
    if (isOfThisEra && m_writtenTokens.contains(record->token))
        return;
    m_unclaimedOrders = record ? record->orders : std::map<EndpointId, RecordedOrder> {};
    if (isOfThisEra)
        m_claimedEra = m_era;
    else // A wait for all engines that an older record lists does not cover the orders of lost records.
        m_unclaimedOrders.erase(kAllEndpoints);
}

std::optional<OrderJournal::KnownOrder> OrderJournal::unrecordedOrders(const OrderRecordPosition& position, MonotonicTime now) const
{
    if (position.record && eraOf(position.record->token) >= m_era)
        return std::nullopt;
    // In the first era no record is lost. If there was one in this era, a late append of an earlier one has replaced it.
    const bool mayBeRecent = position.isUnreadable || m_era == StoreEra() || m_claimedEra == m_era;
    if (mayBeRecent)
        return KnownOrder { { HostId(), position.end }, now + exclusion() };
    return KnownOrder { { HostId(), lastBefore(m_era) }, *m_eraSeenAt + exclusion() };
}

void OrderJournal::onAppended(const std::optional<LogOffset>& end, MonotonicTime now)
{
    m_isCallPending = false;
    if (std::exchange(m_isResultStale, false) || m_step == Step::Released)
        return;
    if (!end) {
        // The append may have failed because another leader has appended, or may have succeeded without a response.
        m_step = Step::Unread;
        m_nextCallAt = now + kRetryDelay;
        return;
    }
    m_end = *end;
    m_writtenTokens.insert(m_appendToken);
    m_claimedEra = eraOf(m_appendToken);
    if (m_step == Step::Claiming) {
        finishClaim(now);
        return;
    }
    for (const auto& endpoint : m_inAppend) {
        m_usableUntil[endpoint] = m_appendRequestedAt + kRecordValidity;
        m_requested.erase(endpoint);
    }
    m_written = currentRecord();
}

void OrderJournal::finishClaim(MonotonicTime now)
{
    m_step = Step::Owned;
    for (const auto& [endpoint, order] : m_unclaimedOrders) {
        const auto heard = m_heardOrders.find({ endpoint, order.requestedAt });
        m_orders[endpoint] = { order, heard == m_heardOrders.end() ? now + exclusion() : heard->second };
        // Of a return, this process knows only when it has seen it itself.
        if (order.host != m_self && (heard == m_heardOrders.end() || endpoint == kAllEndpoints))
            m_askUntil = now + kAgeRequestTime;
    }
    m_unclaimedOrders.clear();
    // A late append of an earlier era may have replaced the record of a leader that reported its orders.
    if (std::exchange(m_unrecorded, std::nullopt)) {
        for (const auto& [request, listedUntil] : m_heardOrders) {
            if (now < listedUntil)
                m_orders.try_emplace(request.first, KnownOrder { { HostId(), request.second }, listedUntil });
        }
    }
    m_written = currentRecord();
}

void OrderJournal::onRecordFound(const OrderRecord& record, MonotonicTime start)
{
    // Once this process has been leader, the record may hold orders of its own.
    if (!m_writtenTokens.empty())
        return;
    for (const auto& [endpoint, order] : record.orders) {
        if (order.host == m_self)
            m_heardOrders.try_emplace({ endpoint, order.requestedAt }, start + exclusion());
    }
}

void OrderJournal::onPeerOrders(const std::vector<OrderAge>& orders, MonotonicTime now)
{
    std::erase_if(m_heardOrders, [now](const auto& entry) { return entry.second + kHeardOrderRetention <= now; });
    for (const auto& order : orders) {
        const auto listedUntil = now - order.age + exclusion();
        const auto [known, isNew] = m_heardOrders.try_emplace({ order.endpoint, order.requestedAt }, listedUntil);
        known->second = std::min(known->second, listedUntil);
        if (const auto own = m_orders.find(order.endpoint); own != m_orders.end() && own->second.order.requestedAt == order.requestedAt)
            own->second.listedUntil = std::min(own->second.listedUntil, known->second);
    }
}

std::vector<OrderAge> OrderJournal::recentOrders(MonotonicTime now) const
{
    std::vector<OrderAge> orders;
    for (const auto& [endpoint, known] : m_orders) {
        if (now < known.listedUntil)
            orders.push_back(ageOf(endpoint, known.order.requestedAt, known.listedUntil, now));
    }
    return orders;
}

std::vector<OrderAge> OrderJournal::heardOrders(MonotonicTime now) const
{
    std::vector<OrderAge> orders;
    for (const auto& [request, listedUntil] : m_heardOrders) {
        if (now < listedUntil + exclusion())
            orders.push_back(ageOf(request.first, request.second, listedUntil, now));
    }
    return orders;
}

OrderAge OrderJournal::ageOf(const EndpointId& endpoint, LogOffset requestedAt, MonotonicTime listedUntil, MonotonicTime now) const
{
    return { endpoint, requestedAt, std::chrono::floor<std::chrono::milliseconds>(now + exclusion() - listedUntil) };
}

bool OrderJournal::isBlocked(const EndpointId& endpoint, MonotonicTime now) const
{
    return isOrderedByOthers(endpoint, now) || isOrderedByOthers(kAllEndpoints, now);
}

bool OrderJournal::isOrderedByOthers(const EndpointId& endpoint, MonotonicTime now) const
{
    const auto found = m_orders.find(endpoint);
    return found != m_orders.end() && found->second.order.host != m_self && now < found->second.listedUntil;
}

bool OrderJournal::isRecorded(const EndpointId& endpoint, MonotonicTime now) const
{
    const auto found = m_usableUntil.find(endpoint);
    return isOwned() && !isBlocked(endpoint, now) && found != m_usableUntil.end() && now < found->second;
}

OrderRecord OrderJournal::currentRecord() const
{
    OrderRecord record { m_token, m_self, m_unclaimedOrders };
    for (const auto& [endpoint, known] : m_orders)
        record.orders.insert_or_assign(endpoint, known.order);
    return record;
}

void OrderJournal::discardExpired(MonotonicTime now)
{
    std::erase_if(m_orders, [now](const auto& entry) { return entry.second.listedUntil <= now; });
    std::erase_if(m_usableUntil, [now](const auto& entry) { return entry.second <= now; });
}

} // namespace hornbeamgate::gateway
