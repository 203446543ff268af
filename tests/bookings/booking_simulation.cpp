#include "bookings/booking_simulation.hpp"

#include "hornbeamgate/event_log/store_era.hpp"

#include <algorithm>

namespace hornbeamgate::test {

using namespace std::chrono_literals;

namespace {

    constexpr std::size_t kAgents = 3;
    constexpr std::size_t kKeys = 3;
    constexpr std::size_t kLargeBodyBytes = 100;

    BookingOptions makeOptions(WriterId writer)
    {
        BookingOptions options;
        options.partition = BookingPartitionId(0);
        options.writer = writer;
        options.index.maxIntents = 40;
        options.index.maxResultBytes = 150;
        options.maxResultBodyBytes = kLargeBodyBytes - 1;
        options.maxRequests = 6;
        options.maxCatchUpRecords = 8;
        return options;
    }

    std::vector<BookingEntry> decodeEntries(const Bytes& data)
    {
        return decodeBookingRecord(data).value().entries;
    }

} // namespace

BookingSimulation::BookingSimulation(InjectedBookingBug bug, bool doesLogReturn)
    : m_bug(bug)
    , m_doesLogReturn(doesLogReturn)
    , m_agents(kAgents)
{
    for (std::size_t key = 0; key < kKeys; ++key)
        m_keys.push_back(makeKey(LogOffset(0)));
    for (std::size_t agent = 0; agent < kAgents; ++agent)
        start(agent);
}

void BookingSimulation::apply(const SimulationStep& step)
{
    const auto agent = step.target % m_agents.size();
    switch (step.kind % 24) {
    case 0:
    case 1:
    case 2:
        return request(agent, m_keys[(step.choice / 8) % m_keys.size()], step.choice % 8);
    case 3:
        m_now += std::chrono::milliseconds(step.choice % 400);
        return dispatch(agent, BookingTimerExpired {});
    case 4:
        m_now += std::chrono::milliseconds(step.choice % 9'000);
        return;
    case 5:
        if (step.choice % 4 == 0)
            start(agent);
        return;
    case 6:
        m_agents[agent].paused = step.choice % 3 == 0;
        return dispatch(agent, BookingTimerExpired {});
    case 7:
        m_outage = step.choice % 5 == 0;
        return;
    case 8:
        if (step.choice % 4 == 0)
            m_firstOffset = std::max(m_firstOffset, m_log.size() * (step.target % 4) / 3);
        return;
    case 9:
        if (!m_lateAppends.empty()) {
            append(m_lateAppends.front());
            m_lateAppends.erase(m_lateAppends.begin());
        }
        return;
    case 10:
        if (step.choice % 3 == 0)
            m_keys[step.target % m_keys.size()] = makeKey(position(m_log.size()));
        if (m_bug == InjectedBookingBug::ClaimsExpire)
            expireClaim(step.target / 4);
        return;
    case 11:
        if (m_doesLogReturn && step.choice % 4 == 0)
            return returnFromCopy(step.target % 8);
        [[fallthrough]];
    default:
        if (!m_operations.empty())
            perform(step.target % m_operations.size(), step.choice);
        return;
    }
}

void BookingSimulation::recoverAndCheckProgress()
{
    m_outage = false;
    std::vector<std::uint64_t> finalRequests;
    for (std::size_t agent = 0; agent < m_agents.size(); ++agent) {
        m_agents[agent].paused = false;
        dispatch(agent, BookingTimerExpired {});
        finalRequests.push_back(m_requests.size());
        request(agent, makeKey(position(m_log.size())), 0);
    }
    constexpr int kRounds = 80;
    constexpr std::uint32_t kSucceeds = 2;
    for (int round = 0; round < kRounds; ++round) {
        const auto count = m_operations.size();
        for (std::size_t i = 0; i < count && !m_operations.empty(); ++i)
            perform(std::size_t { 0 }, kSucceeds);
        m_now += 50ms;
        for (std::size_t agent = 0; agent < m_agents.size(); ++agent)
            dispatch(agent, BookingTimerExpired {});
    }
    for (const auto number : finalRequests) {
        const auto& answer = m_requests.at(number).answer;
        const bool overloaded = answer && *answer == BookingAnswer(NotRun { NotRunReason::Overloaded });
        if (!overloaded && (!answer || !std::holds_alternative<ServiceResult>(*answer)))
            fail("a booking received no result after all faults ended");
    }
}

void BookingSimulation::start(std::size_t agent)
{
    auto& state = m_agents[agent];
    ++state.incarnation;
    state.paused = false;
    state.inbox.clear();
    const auto writerNumber = m_bug == InjectedBookingBug::WriterIdReusedAfterRestart ? 1 : state.incarnation;
    const auto writer = makeWriterId(HostId("agent-" + std::to_string(agent)), Incarnation(writerNumber));
    state.partition.emplace(BookingPartition::create(makeOptions(writer)).value());
    dispatch(agent, BookingTimerExpired {});
}

BookingSimulation::Key BookingSimulation::makeKey(LogOffset position)
{
    const auto key = IdempotencyKey::make("key" + std::to_string(m_keysMade++), position).value();
    return { makeBookingId(WorkspaceId("postojna"), ServiceId("hauls"), key), position };
}

void BookingSimulation::request(std::size_t agent, const Key& key, std::uint32_t choice)
{
    const std::uint64_t number = m_requests.size();
    const RequestFingerprint fingerprint(choice == 7 ? 2 : 1);
    m_requests[number] = { key.id, fingerprint, {} };
    BookingRequested event { RequestId(number), key.id, key.position, fingerprint, m_now + 5s };
    if (m_bug == InjectedBookingBug::KeyPositionIgnored)
        event.position = m_agents[agent].partition->position();
    if (m_bug == InjectedBookingBug::FingerprintIgnored)
        event.fingerprint = RequestFingerprint(0);
    deliver(agent, event);
}

void BookingSimulation::deliver(std::size_t agent, const BookingEvent& event)
{
    m_agents[agent].inbox.push_back(event);
    dispatch(agent, BookingTimerExpired {});
}

void BookingSimulation::dispatch(std::size_t agent, const BookingEvent& event)
{
    auto& state = m_agents[agent];
    if (state.paused)
        return;
    state.inbox.push_back(event);
    while (!state.inbox.empty()) {
        const auto next = std::move(state.inbox.front());
        state.inbox.pop_front();
        for (auto& action : state.partition->handle(next, m_now)) {
            if (const auto* reply = std::get_if<BookingReply>(&action))
                checkReply(*reply);
            else
                m_operations.push_back({ agent, state.incarnation, std::move(action) });
        }
    }
}

void BookingSimulation::perform(std::size_t index, std::uint32_t choice)
{
    const auto operation = m_operations[index];
    m_operations.erase(m_operations.begin() + static_cast<std::ptrdiff_t>(index));
    if (const auto* append = std::get_if<AppendRecord>(&operation.action))
        return perform(operation, *append, choice);
    if (const auto* read = std::get_if<ReadLog>(&operation.action))
        return perform(operation, *read, choice);
    perform(operation, std::get<CallService>(operation.action), choice);
}

void BookingSimulation::perform(const Operation& operation, const AppendRecord& record, std::uint32_t choice)
{
    const bool current = m_agents[operation.agent].incarnation == operation.incarnation;
    for (const auto& entry : decodeEntries(record.data))
        m_bookingsWithIntent.insert(std::visit([](const auto& typed) { return typed.booking; }, entry));
    AppendEvent outcome = AppendRefused { record.ticket };
    if (!m_outage && choice % 8 != 0) {
        outcome = AppendOutcomeUnknown { record.ticket };
        if (choice % 8 == 1)
            m_lateAppends.push_back(record.data);
        else if (choice % 8 <= 6)
            outcome = AppendSucceeded { record.ticket, append(record.data) };
        if (choice % 8 == 6)
            outcome = AppendOutcomeUnknown { record.ticket };
    }
    if (!current)
        return;
    if (m_bug == InjectedBookingBug::CallsBeforeReading && std::holds_alternative<AppendSucceeded>(outcome))
        callServiceForIntents(operation, record);
    deliver(operation.agent, outcome);
}

void BookingSimulation::perform(const Operation& operation, const ReadLog& read, std::uint32_t choice)
{
    if (m_agents[operation.agent].incarnation != operation.incarnation)
        return;
    if (m_outage || choice % 16 == 0)
        return deliver(operation.agent, LogReadEvent(LogUnreachable {}));
    if (eraOf(read.from) < eraOf(position(0)))
        return deliver(operation.agent, LogReadEvent(LogRestarted { position(0) }));
    const std::size_t from = offsetInEra(read.from);
    if (from < m_firstOffset)
        return deliver(operation.agent, LogReadEvent(LogTrimmed { position(m_firstOffset) }));
    LogRecordsRead answer { {}, position(m_log.size()) };
    constexpr std::size_t kMaxRecords = 3;
    const auto end = std::min(m_log.size(), from + kMaxRecords);
    for (auto offset = from; offset < end; ++offset)
        answer.records.push_back({ position(offset), m_log[offset] });
    deliver(operation.agent, LogReadEvent(answer));
}

void BookingSimulation::perform(const Operation& operation, const CallService& call, std::uint32_t choice)
{
    const bool current = m_agents[operation.agent].incarnation == operation.incarnation;
    const bool reached = choice % 8 != 0;
    const bool lost = choice % 8 == 1;
    if (!reached) {
        if (current)
            deliver(operation.agent, ServiceFailed { call.attempt, CallFailure::BeforeSending });
        return;
    }
    const auto result = runService(call);
    if (!current)
        return;
    const auto failure
        = m_bug == InjectedBookingBug::UnknownOutcomeReleased ? CallFailure::BeforeSending : CallFailure::OutcomeUnknown;
    if (m_bug == InjectedBookingBug::ReportsNotRunAfterCall && choice % 8 == 2)
        checkReply({ call.request, NotRun { NotRunReason::LogUnavailable, NotRunScope::Request } });
    if (lost)
        deliver(operation.agent, ServiceFailed { call.attempt, failure });
    else
        deliver(operation.agent, ServiceAnswered { call.attempt, result });
}

LogOffset BookingSimulation::append(const Bytes& data)
{
    m_log.push_back(data);
    return position(m_log.size() - 1);
}

void BookingSimulation::returnFromCopy(std::size_t most)
{
    m_log.resize(m_log.size() - std::min(most, m_log.size()));
    m_firstOffset = std::min(m_firstOffset, m_log.size());
    ++m_returns;
}

LogOffset BookingSimulation::position(std::size_t offset) const
{
    return positionInEra(StoreEra(m_bug == InjectedBookingBug::EraIgnored ? 0 : m_returns), offset);
}

ServiceResult BookingSimulation::runService(const CallService& call)
{
    const auto& request = m_requests.at(call.request.value());
    const bool large = m_runs.size() % 3 == 0;
    const Bytes body(large ? kLargeBodyBytes : 60, static_cast<std::uint8_t>(call.request.value()));
    ServiceResult result { 201, "application/json", body, true };
    if (request.answer && std::holds_alternative<NotRun>(*request.answer))
        fail("a request was executed after it was answered as not run");
    if (!m_runs.emplace(request.booking, Run { request.fingerprint, result }).second)
        fail("a booking ran twice");
    m_requestsRun.insert(call.request.value());
    return result;
}

void BookingSimulation::callServiceForIntents(const Operation& operation, const AppendRecord& record)
{
    for (const auto& entry : decodeEntries(record.data)) {
        const auto* intent = std::get_if<IntentEntry>(&entry);
        const auto request = std::find_if(m_requests.begin(), m_requests.end(), [&](const auto& candidate) {
            return intent != nullptr && candidate.second.booking == intent->booking && !candidate.second.answer;
        });
        if (request != m_requests.end())
            m_operations.push_back({ operation.agent, operation.incarnation,
                CallService { intent->attempt, RequestId(request->first) } });
    }
}

void BookingSimulation::expireClaim(std::uint32_t which)
{
    if (m_firstOffset == m_log.size())
        return;
    auto record = decodeBookingRecord(m_log[m_firstOffset + which % (m_log.size() - m_firstOffset)]).value();
    for (auto& entry : record.entries) {
        if (const auto* intent = std::get_if<IntentEntry>(&entry))
            entry = ReleaseEntry { intent->booking, intent->attempt };
    }
    append(encodeBookingRecord(record));
}

void BookingSimulation::checkReply(const BookingReply& reply)
{
    auto& request = m_requests.at(reply.request.value());
    if (request.answer && m_bug == InjectedBookingBug::None)
        fail("a request was answered twice");
    request.answer = reply.answer;
    const auto run = m_runs.find(request.booking);
    if (const auto* notRun = std::get_if<NotRun>(&reply.answer)) {
        if (m_requestsRun.contains(reply.request.value()))
            fail("an executed request was answered as not run");
        if (notRun->scope == NotRunScope::Key && run != m_runs.end())
            fail("an executed booking was answered as not run");
    } else if (const auto* result = std::get_if<ServiceResult>(&reply.answer)) {
        if (run == m_runs.end() || result->status != run->second.result.status)
            return fail("a reply contains a result that the service did not return");
        if (result->bodyKept && result->body != run->second.result.body)
            fail("a repeated request received a different result");
        if (request.fingerprint != run->second.fingerprint)
            fail("a request received the result of a different request");
    } else if (!m_bookingsWithIntent.contains(request.booking)) {
        fail("a booking without an intent was answered as unknown or in progress");
    }
}

void BookingSimulation::fail(const std::string& what)
{
    if (!m_violation)
        m_violation = what;
}

} // namespace hornbeamgate::test
