#include "hornbeamgate/routing/weights_plan.hpp"

#include "hornbeamgate/event_log/store_era.hpp"

#include <algorithm>
#include <utility>

namespace hornbeamgate {

namespace {

    constexpr Duration kAppendRetryDelay = std::chrono::seconds(2);

} // namespace

Result<WeightsPlan, std::string> WeightsPlan::create(const WeightsPlanOptions& options)
{
    if (options.grants.slots == 0)
        return failure(std::string("at least one concurrent load must be allowed"));
    if (options.grants.loadTimeout <= options.startWindow)
        return failure(std::string("the time after which a load expires must be longer than the start window"));
    return WeightsPlan(options);
}

WeightsPlan::WeightsPlan(const WeightsPlanOptions& options)
    : m_options(options)
    , m_grants(options.grants)
{
}

std::vector<WeightsPlanAction> WeightsPlan::handle(const WeightsPlanEvent& event, MonotonicTime now)
{
    std::visit([&](const auto& typed) { on(typed, now); }, event);
    advance(now);
    return std::exchange(m_actions, {});
}

std::optional<MonotonicTime> WeightsPlan::nextDeadline() const
{
    auto next = m_grants.nextDeadline();
    const auto consider = [&](MonotonicTime deadline) { next = next ? std::min(*next, deadline) : deadline; };
    if (m_retryAt)
        consider(*m_retryAt);
    const bool idle = !m_ordered && !m_pendingAppend && !m_awaitedOffset && !m_retryAt;
    if (idle && m_startRequested && m_grants.openRequestOf(m_options.endpoint) == m_startRequested)
        consider(m_startBefore);
    return next;
}

void WeightsPlan::on(const DesiredWeightsChanged& event, MonotonicTime)
{
    m_desired = event.models;
}

void WeightsPlan::on(const ServedWeightsChanged& event, MonotonicTime)
{
    m_served = event.models;
}

void WeightsPlan::on(const WeightsLoadFinished& event, MonotonicTime)
{
    const auto* request = m_grants.find(event.fencing);
    if (m_ordered != event.fencing)
        return;
    m_ordered.reset();
    if (request != nullptr)
        append({ WeightsLoadStep::Finish, m_options.endpoint, request->model, event.fencing, WeightsLoadStep::Start });
}

void WeightsPlan::on(const LogReadEvent& event, MonotonicTime now)
{
    if (const auto* trimmed = std::get_if<LogTrimmed>(&event))
        m_grants.skipTo(trimmed->first, now);
    if (const auto* restarted = std::get_if<LogRestarted>(&event)) {
        m_grants.skipTo(restarted->first, now);
        m_caughtUp = false;
        m_startRequested.reset();
        m_awaitedOffset.reset();
    }
    const auto* read = std::get_if<LogRecordsRead>(&event);
    if (read == nullptr)
        return;
    for (const auto& record : read->records)
        m_grants.apply(record, now);
    if (m_caughtUp || m_grants.position() < read->next)
        return;
    m_caughtUp = true;
    m_previousProcessRequest = m_grants.openRequestOf(m_options.endpoint);
}

void WeightsPlan::on(const AppendEvent& event, MonotonicTime now)
{
    const auto ticket = std::visit([](const auto& outcome) { return outcome.ticket; }, event);
    if (m_pendingAppend != ticket)
        return;
    m_pendingAppend.reset();
    if (const auto* succeeded = std::get_if<AppendSucceeded>(&event))
        m_awaitedOffset = succeeded->offset;
    else
        m_retryAt = now + kAppendRetryDelay;
}

void WeightsPlan::on(const WeightsTimerExpired&, MonotonicTime now)
{
    for (const auto& record : m_grants.proposeExpiries(now))
        append(record);
}

void WeightsPlan::advance(MonotonicTime now)
{
    if (!m_caughtUp || m_ordered || m_pendingAppend || (m_retryAt && now < *m_retryAt))
        return;
    m_retryAt.reset();
    if (m_awaitedOffset && m_grants.position() <= *m_awaitedOffset)
        return;
    m_awaitedOffset.reset();
    const auto load = nextLoad();
    const auto token = m_grants.openRequestOf(m_options.endpoint);
    if (!token) {
        if (load)
            appendOwn({ WeightsLoadStep::Request, m_options.endpoint, *load, tokenAt(m_grants.position()), WeightsLoadStep::Request });
        return;
    }
    const auto& request = *m_grants.find(*token);
    // A previous process may have ordered this load and the engine may still be loading, so the slot stays occupied until it
    // expires.
    if (token == m_previousProcessRequest && request.started)
        return;
    const bool missed = m_startRequested == token && now >= m_startBefore;
    if (token == m_previousProcessRequest || load != request.model || missed || m_highestOrderedToken == *token) {
        appendOwn({ WeightsLoadStep::Finish, m_options.endpoint, request.model, *token, WeightsLoadStep::Request });
        return;
    }
    if (request.granted && m_startRequested != token) {
        m_startRequested = token;
        m_startBefore = now + m_options.startWindow;
        appendOwn({ WeightsLoadStep::Start, m_options.endpoint, request.model, *token, WeightsLoadStep::Request });
        return;
    }
    if (request.started)
        orderLoad(*token, request, now);
}

void WeightsPlan::orderLoad(FencingToken token, const WeightsLoadRequest& request, MonotonicTime now)
{
    if (now >= m_startBefore || !isCurrentToken(token))
        return;
    m_highestOrderedToken = token;
    m_ordered = token;
    m_actions.emplace_back(OrderWeightsLoad { request.model, token, m_startBefore });
}

std::optional<ServedModel> WeightsPlan::nextLoad() const
{
    for (const auto& desired : m_desired)
        if (std::find(m_served.begin(), m_served.end(), desired) == m_served.end())
            return desired;
    return std::nullopt;
}

void WeightsPlan::append(const WeightsLoadRecord& record)
{
    m_lastTicket = m_lastTicket.next();
    m_actions.emplace_back(AppendRecord { m_lastTicket, kStream, encodeWeightsLoadRecord(record) });
}

void WeightsPlan::appendOwn(const WeightsLoadRecord& record)
{
    append(record);
    m_pendingAppend = m_lastTicket;
}

} // namespace hornbeamgate
