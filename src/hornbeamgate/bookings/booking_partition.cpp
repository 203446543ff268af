#include "hornbeamgate/bookings/booking_partition.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hornbeamgate {

namespace {

    BookingAnswer notRun(NotRunReason reason, NotRunScope scope = NotRunScope::Request)
    {
        return NotRun { reason, scope };
    }

} // namespace

BookingPartition::BookingPartition(BookingOptions options)
    : m_options(options)
    , m_index(options.index)
    , m_appender(options.appender, bookingStreamName(options.partition), options.writer)
{
}

Result<BookingPartition, BookingOptionsError> BookingPartition::create(BookingOptions options)
{
    if (options.maxRequests == 0 || options.index.maxIntents == 0 || options.maxCatchUpRecords == 0)
        return failure(BookingOptionsError { "maxRequests, maxIntents and maxCatchUpRecords must be greater than 0" });
    if (options.maxResultBodyBytes + options.appender.maxRecordBytes > kMaxBookingRecordBytes)
        return failure(BookingOptionsError { "maxResultBodyBytes + maxRecordBytes exceeds kMaxBookingRecordBytes" });
    if (options.logWaitTimeout <= Duration::zero() || options.readRetryDelay <= Duration::zero())
        return failure(BookingOptionsError { "logWaitTimeout and readRetryDelay must be greater than 0" });
    return BookingPartition(options);
}

std::vector<BookingAction> BookingPartition::handle(const BookingEvent& event, MonotonicTime now)
{
    m_now = now;
    expireWaiters();
    std::visit([this](const auto& typed) { on(typed); }, event);
    emitLogActions();
    return std::exchange(m_actions, {});
}

std::optional<MonotonicTime> BookingPartition::nextDeadline() const
{
    auto deadline = m_appender.nextDeadline();
    const auto consider = [&deadline](MonotonicTime time) { deadline = deadline ? std::min(*deadline, time) : time; };
    if (!m_reading)
        consider(m_nextReadAt);
    for (const auto& [booking, pending] : m_pendingBookings) {
        for (const auto& waiter : pending.waiters) {
            consider(waiter.deadline);
            if (pending.state == PendingState::Waiting && waiter.logDeadline > m_now)
                consider(waiter.logDeadline);
        }
    }
    return deadline;
}

nlohmann::json BookingPartition::dump() const
{
    const auto running = std::count_if(m_pendingBookings.begin(), m_pendingBookings.end(),
        [](const auto& pending) { return pending.second.state == PendingState::Running; });
    return {
        { "partition", m_options.partition.value() },
        { "writer", m_options.writer.value() },
        { "position", m_next.value() },
        { "caught_up", m_caughtUp },
        { "log_down", m_logDown },
        { "requests", m_requests },
        { "bookings", m_pendingBookings.size() },
        { "running", running },
        { "calls", m_calls },
        { "queued_entries", m_appender.queued() },
        { "appends", m_appender.appends() },
        { "bad_records", m_badRecords },
        { "index", m_index.dump() },
    };
}

void BookingPartition::on(const BookingRequested& event)
{
    const auto reply = [&](const BookingAnswer& answer) {
        m_actions.emplace_back(BookingReply { event.request, answer });
    };
    if (event.deadline <= m_now)
        return reply(notRun(NotRunReason::LogUnavailable));
    if (m_requests >= m_options.maxRequests)
        return reply(notRun(NotRunReason::Overloaded));
    const auto known = m_pendingBookings.find(event.booking);
    if (known != m_pendingBookings.end() && known->second.fingerprint != event.fingerprint)
        return reply(notRun(NotRunReason::KeyReused));
    auto& pending = m_pendingBookings[event.booking];
    pending.position = event.position;
    pending.fingerprint = event.fingerprint;
    pending.waiters.push_back({ event.request, event.deadline, m_now + m_options.logWaitTimeout });
    ++m_requests;
    evaluate(event.booking);
}

void BookingPartition::on(const ServiceAnswered& event)
{
    const auto pending = findAttempt(event.attempt, PendingState::Running);
    if (pending == m_pendingBookings.end())
        return;
    replyAll(pending->second, event.result);
    pending->second.result = event.result;
    if (event.result.body.size() > m_options.maxResultBodyBytes) {
        pending->second.result.body = {};
        pending->second.result.bodyKept = false;
    }
    recordOutcome(pending, PendingState::Answered, ResultEntry { pending->first, event.attempt, pending->second.result });
}

void BookingPartition::on(const ServiceFailed& event)
{
    const auto pending = findAttempt(event.attempt, PendingState::Running);
    if (pending == m_pendingBookings.end())
        return;
    if (event.failure == CallFailure::OutcomeUnknown) {
        replyAll(pending->second, OutcomeUnknown {});
        return recordOutcome(pending, PendingState::OutcomeLost, OutcomeUnknownEntry { pending->first, event.attempt });
    }
    m_appender.add(ReleaseEntry { pending->first, event.attempt });
    abandon(pending, notRun(NotRunReason::EndpointUnreachable, NotRunScope::Key));
}

void BookingPartition::on(const LogReadEvent& event)
{
    m_reading = false;
    std::visit([this](const auto& typed) { on(typed); }, event);
}

void BookingPartition::on(const AppendEvent& event)
{
    const auto appended = m_appender.handle(event, m_now);
    removeObsoleteIntents();
    if (appended.empty())
        return;
    const auto offset = std::get<AppendSucceeded>(event).offset;
    for (const auto& entry : appended)
        handleAppendedEntry(entry, offset);
    if (offset == m_next && m_caughtUp)
        applyRecord(offset, BookingRecord { m_options.writer, appended });
    evaluateAll();
}

void BookingPartition::on(const BookingTimerExpired& /*event*/)
{
}

void BookingPartition::on(const LogRecordsRead& read)
{
    m_logDown = false;
    skipOldRecords(read.next);
    for (const auto& record : read.records) {
        if (record.offset >= m_next)
            applyRecord(record.offset, decodeBookingRecord(record.data));
    }
    if (m_caughtUp || m_next < read.next)
        return evaluateAll();
    m_caughtUp = true;
    evaluateAll();
}

void BookingPartition::on(const LogTrimmed& trimmed)
{
    if (trimmed.first > m_next)
        restartAt(trimmed.first);
}

void BookingPartition::on(const LogRestarted& restarted)
{
    if (restarted.first > m_next)
        restartAt(restarted.first);
}

void BookingPartition::restartAt(LogOffset first)
{
    m_index.restart(first);
    m_next = first;
    m_caughtUp = false;
    std::vector<BookingId> affected;
    for (const auto& [booking, pending] : m_pendingBookings) {
        if (pending.state == PendingState::Waiting && pending.attempt != 0)
            affected.push_back(booking);
    }
    for (const auto& booking : affected) {
        const auto pending = m_pendingBookings.find(booking);
        m_appender.add(ReleaseEntry { booking, pending->second.attempt });
        abandon(pending, notRun(NotRunReason::HistoryLost));
    }
}

void BookingPartition::on(const LogUnreachable& /*unreachable*/)
{
    m_logDown = true;
    m_nextReadAt = m_now + m_options.readRetryDelay;
}

/// Skips all but the last `maxCatchUpRecords` records at startup to limit the time until the first call. Keys with an
/// older position count as expired.
void BookingPartition::skipOldRecords(LogOffset end)
{
    const bool noRecordsRead = m_next == m_index.coverageFrom();
    if (m_caughtUp || !noRecordsRead || end.value() <= m_next.value() + m_options.maxCatchUpRecords)
        return;
    m_next = LogOffset(end.value() - m_options.maxCatchUpRecords);
    m_index.restart(m_next);
}

/// A record that cannot be decoded may contain an intent, so keys with a position at or before it can no longer be
/// resolved and count as expired.
void BookingPartition::applyRecord(LogOffset offset, const Result<BookingRecord, CodecError>& record)
{
    m_next = offset.next();
    if (!record) {
        ++m_badRecords;
        return m_index.dropBefore(m_next);
    }
    for (const auto& booking : m_index.apply(offset, *record, m_now)) {
        if (record->writer == m_options.writer)
            releaseOrphanedClaim(booking);
        evaluate(booking);
    }
}

/// Releases a claim of this process whose attempt was abandoned, for example one created by a delayed duplicate append.
void BookingPartition::releaseOrphanedClaim(const BookingId& booking)
{
    const auto* claim = m_index.find(booking);
    if (claim == nullptr || claim->state != ClaimState::Claimed || claim->owner.writer != m_options.writer)
        return;
    if (m_bookingOfAttempt.contains(claim->owner.number))
        return;
    m_appender.add(ReleaseEntry { booking, claim->owner.number });
}

void BookingPartition::evaluateAll()
{
    std::vector<BookingId> waiting;
    for (const auto& [booking, pending] : m_pendingBookings) {
        if (pending.state == PendingState::Waiting)
            waiting.push_back(booking);
    }
    std::sort(waiting.begin(), waiting.end());
    for (const auto& booking : waiting)
        evaluate(booking);
}

void BookingPartition::evaluate(const BookingId& booking)
{
    const auto pending = m_pendingBookings.find(booking);
    if (pending == m_pendingBookings.end() || !m_caughtUp)
        return;
    if (pending->second.state == PendingState::Answered)
        return replyAll(pending->second, pending->second.result);
    if (pending->second.state == PendingState::OutcomeLost)
        return replyAll(pending->second, OutcomeUnknown {});
    if (pending->second.state == PendingState::Running)
        return;
    if (pending->second.position < m_index.coverageFrom()) {
        if (pending->second.attempt != 0)
            m_appender.add(ReleaseEntry { booking, pending->second.attempt });
        return abandon(pending, notRun(NotRunReason::KeyExpired));
    }
    if (const auto* claim = m_index.find(booking))
        return evaluateClaimed(pending, *claim);
    if (pending->second.position <= m_next)
        evaluateUnclaimed(pending);
}

void BookingPartition::evaluateClaimed(PendingBookings::iterator pending, const BookingClaim& claim)
{
    const bool isOwnClaim = claim.owner == AttemptId { m_options.writer, pending->second.attempt };
    if (isOwnClaim && claim.state == ClaimState::Claimed)
        return callService(pending);
    if (claim.fingerprint != pending->second.fingerprint)
        return abandon(pending, notRun(NotRunReason::KeyReused));
    if (claim.state == ClaimState::Answered)
        return abandon(pending, claim.result);
    if (claim.state == ClaimState::OutcomeUnknown || m_now >= claim.unresolvedAt)
        abandon(pending, OutcomeUnknown {});
}

void BookingPartition::evaluateUnclaimed(PendingBookings::iterator pending)
{
    auto& state = pending->second;
    if (state.intentAppended && m_next > state.intentOffset)
        state.intentPending = false;
    if (state.intentPending)
        return;
    if (state.attempt == 0) {
        state.attempt = ++m_lastAttempt;
        m_bookingOfAttempt.emplace(state.attempt, pending->first);
    }
    state.intentPending = true;
    state.intentAppended = false;
    m_appender.add(IntentEntry { pending->first, state.attempt, state.fingerprint });
}

void BookingPartition::callService(PendingBookings::iterator pending)
{
    pending->second.state = PendingState::Running;
    pending->second.intentPending = false;
    ++m_calls;
    removeObsoleteIntents();
    m_actions.emplace_back(CallService { pending->second.attempt, pending->second.waiters.front().request });
}

void BookingPartition::expireWaiters()
{
    std::vector<BookingId> abandoned;
    for (auto& [booking, pending] : m_pendingBookings) {
        std::vector<Waiter> remaining;
        for (const auto& waiter : pending.waiters) {
            if (!expired(booking, pending, waiter)) {
                remaining.push_back(waiter);
                continue;
            }
            m_actions.emplace_back(BookingReply { waiter.request, answerAtDeadline(booking, pending) });
            --m_requests;
        }
        pending.waiters = std::move(remaining);
        if (pending.waiters.empty() && pending.state == PendingState::Waiting)
            abandoned.push_back(booking);
    }
    for (const auto& booking : abandoned)
        abandon(m_pendingBookings.find(booking), InProgress {});
}

bool BookingPartition::expired(const BookingId& booking, const PendingBooking& pending, const Waiter& waiter) const
{
    if (waiter.deadline <= m_now)
        return true;
    const bool awaitsLog = pending.state == PendingState::Waiting && waiter.logDeadline <= m_now;
    const bool unclaimed = pending.intentPending && m_index.find(booking) == nullptr;
    return awaitsLog && (m_logDown || !m_caughtUp || unclaimed);
}

BookingAnswer BookingPartition::answerAtDeadline(const BookingId& booking, const PendingBooking& pending) const
{
    if (pending.state == PendingState::Running)
        return InProgress {};
    const auto* claim = m_index.find(booking);
    const bool ownClaim = claim != nullptr && claim->owner.writer == m_options.writer;
    if (claim != nullptr && !ownClaim) {
        const bool unresolved = claim->state != ClaimState::Claimed || m_now >= claim->unresolvedAt;
        return unresolved ? BookingAnswer(OutcomeUnknown {}) : BookingAnswer(InProgress {});
    }
    if (m_caughtUp && pending.position > m_next)
        return notRun(NotRunReason::KeyNotYetValid);
    return notRun(NotRunReason::LogUnavailable);
}

void BookingPartition::replyAll(PendingBooking& pending, const BookingAnswer& answer)
{
    for (const auto& waiter : pending.waiters)
        m_actions.emplace_back(BookingReply { waiter.request, answer });
    m_requests -= pending.waiters.size();
    pending.waiters.clear();
}

/// Answers all waiters and abandons the attempt. The service is never called for its number after this.
void BookingPartition::abandon(PendingBookings::iterator pending, const BookingAnswer& answer)
{
    replyAll(pending->second, answer);
    m_bookingOfAttempt.erase(pending->second.attempt);
    m_pendingBookings.erase(pending);
    removeObsoleteIntents();
}

/// Appends the outcome. The pending booking is kept until `entry` is in the log because releaseOrphanedClaim() would
/// otherwise treat the attempt as abandoned.
void BookingPartition::recordOutcome(PendingBookings::iterator pending, PendingState state, BookingEntry entry)
{
    pending->second.state = state;
    m_appender.add(std::move(entry));
}

void BookingPartition::handleAppendedEntry(const BookingEntry& entry, LogOffset offset)
{
    if (const auto* intent = std::get_if<IntentEntry>(&entry)) {
        const auto pending = m_pendingBookings.find(intent->booking);
        if (pending == m_pendingBookings.end() || pending->second.attempt != intent->attempt)
            return;
        pending->second.intentAppended = true;
        pending->second.intentOffset = offset;
        return;
    }
    const auto number = std::visit([](const auto& typed) { return typed.attempt; }, entry);
    const auto booking = m_bookingOfAttempt.find(number);
    if (booking == m_bookingOfAttempt.end() || std::holds_alternative<ReleaseEntry>(entry))
        return;
    m_pendingBookings.erase(booking->second);
    m_bookingOfAttempt.erase(booking);
}

void BookingPartition::removeObsoleteIntents()
{
    m_appender.removeQueued([this](const BookingEntry& entry) {
        const auto* intent = std::get_if<IntentEntry>(&entry);
        return intent != nullptr && findAttempt(intent->attempt, PendingState::Waiting) == m_pendingBookings.end();
    });
}

BookingPartition::PendingBookings::iterator BookingPartition::findAttempt(std::uint64_t attempt, PendingState state)
{
    const auto booking = m_bookingOfAttempt.find(attempt);
    if (booking == m_bookingOfAttempt.end())
        return m_pendingBookings.end();
    const auto pending = m_pendingBookings.find(booking->second);
    return pending != m_pendingBookings.end() && pending->second.state == state ? pending : m_pendingBookings.end();
}

void BookingPartition::emitLogActions()
{
    if (!m_reading && m_now >= m_nextReadAt) {
        m_reading = true;
        m_actions.emplace_back(ReadLog { bookingStreamName(m_options.partition), m_next });
    }
    if (auto append = m_appender.poll(m_now))
        m_actions.emplace_back(std::move(*append));
}

} // namespace hornbeamgate
