#include "hornbeamgate/runtime/agent/service_dispatcher.hpp"

#include "hornbeamgate/observability/log.hpp"
#include "hornbeamgate/runtime/agent/service_call.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hornbeamgate {

namespace {

    /// All agents must map a key to the same partition; otherwise two agents could execute the same booking.
    constexpr std::uint32_t kBookingPartitions = 8;
    constexpr std::size_t kMaxAnswerBytes = std::size_t { 8 } * 1024 * 1024;

    BookingEvent bookingEvent(std::uint64_t attempt, const Result<HttpResponse, HttpError>& result)
    {
        if (!result)
            return ServiceFailed { attempt, result.error().sent() ? CallFailure::OutcomeUnknown : CallFailure::BeforeSending };
        ServiceResult stored;
        stored.status = result->status;
        stored.contentType = result->contentType;
        stored.body.assign(result->body.begin(), result->body.end());
        return ServiceAnswered { attempt, std::move(stored) };
    }

} // namespace

/// Service call of one stream. `stream` is null after the entry daemon disconnected, cancelled or was answered.
struct ServiceDispatcher::Call {
    RequestId number;
    std::unique_ptr<RunStream> stream;
    std::unique_ptr<HttpFetch> fetch;
    RunOrder order;
    bool orderReceived = false;
    bool called = false; ///< this process called the service
    bool isBookingRunning = false; ///< a booking's call of the service has no outcome yet
};

Result<std::unique_ptr<ServiceDispatcher>, std::string> ServiceDispatcher::create(const AgentContext& context, WriterId writer, const ServiceTimeouts& timeouts)
{
    std::unique_ptr<ServiceDispatcher> dispatcher(new ServiceDispatcher(context, timeouts));
    const auto partitions = dispatcher->createPartitions(writer);
    if (!partitions)
        return failure(partitions.error());
    return dispatcher;
}

ServiceDispatcher::ServiceDispatcher(const AgentContext& context, const ServiceTimeouts& timeouts)
    : m_context(context)
    , m_timeouts(timeouts)
    , m_log(context.settings->common.platform.log)
{
}

ServiceDispatcher::~ServiceDispatcher() = default;

Result<void, std::string> ServiceDispatcher::createPartitions(WriterId writer)
{
    for (std::size_t i = 0; i < kBookingPartitions; ++i) {
        BookingOptions options;
        options.partition = BookingPartitionId(i);
        options.writer = writer;
        BookingTask::Callbacks callbacks;
        callbacks.call = [this, i](const CallService& action) { callForBooking(i, action); };
        callbacks.reply = [this](const BookingReply& action) { replyToBooking(action); };
        auto task = BookingTask::create(options, m_log, std::move(callbacks));
        if (!task)
            return failure("bookings: " + task.error());
        m_partitions.push_back(std::move(*task));
    }
    for (const auto& partition : m_partitions)
        partition->start();
    return {};
}

void ServiceDispatcher::add(std::unique_ptr<LinkStream> stream)
{
    auto call = std::make_unique<Call>();
    call->number = m_lastCall = m_lastCall.next();
    call->stream = std::make_unique<RunStream>(std::move(stream), *this);
    m_calls.emplace(call->number, std::move(call));
}

std::optional<RunFailed> ServiceDispatcher::findRefusal(const RunOrder& order) const
{
    if (order.kind != RunKind::ServiceCall || order.service != m_context.settings->service)
        return RunFailed { RunError::BadRequest, true, "this agent does not offer the service" };
    if (m_leaving)
        return RunFailed { RunError::EndpointLeaving, true, "the endpoint is leaving" };
    return std::nullopt;
}

void ServiceDispatcher::handleOrder(RunStream& stream, const RunOrder& order)
{
    if (const auto refusal = findRefusal(order)) {
        stream.sendMessage(*refusal);
        return;
    }
    auto& call = *find(stream)->second;
    call.order = order;
    call.orderReceived = true;
    const bool needsBooking = !order.idempotent && !order.idempotencyKey.empty();
    if (needsBooking)
        startBooking(call);
    else
        callOnce(call);
}

void ServiceDispatcher::startBooking(Call& call)
{
    const auto key = IdempotencyKey::parse(call.order.idempotencyKey);
    if (!key) {
        answer(call.number, RunFailed { RunError::BadRequest, true, key.error().detail });
        return;
    }
    const auto& order = call.order;
    const auto partition = selectBookingPartition(order.workspace, order.service, key->name, kBookingPartitions);
    BookingRequested request;
    request.request = call.number;
    request.booking = makeBookingId(order.workspace, order.service, *key);
    request.position = key->position;
    request.fingerprint = computeRequestFingerprint(order.method, order.path, order.body);
    request.deadline = MonotonicClock::now() + m_timeouts.booking;
    m_partitions[partition.value()]->feed(request);
}

void ServiceDispatcher::callOnce(Call& call)
{
    call.called = true;
    const auto request = makeServiceRequest(call.order, m_context.settings->endpointAddress);
    call.fetch = HttpFetch::start(*m_context.client, request, kMaxAnswerBytes, MonotonicClock::now() + m_timeouts.call,
        [this, number = call.number](const Result<HttpResponse, HttpError>& result) { answer(number, serviceOutcome(result)); });
}

void ServiceDispatcher::callForBooking(std::size_t partition, const CallService& action)
{
    const auto found = m_calls.find(action.request);
    if (found == m_calls.end()) {
        // The order is gone, so the request was certainly not sent.
        post([this, partition, attempt = action.attempt] { m_partitions[partition]->feed(ServiceFailed { attempt, CallFailure::BeforeSending }); });
        return;
    }
    auto& call = *found->second;
    call.called = true;
    call.isBookingRunning = true;
    m_context.metrics->add(Counter::BookingsExecuted);
    const auto request = makeServiceRequest(call.order, m_context.settings->endpointAddress);
    call.fetch = HttpFetch::start(*m_context.client, request, kMaxAnswerBytes, MonotonicClock::now() + m_timeouts.call,
        [this, partition, number = call.number, attempt = action.attempt](const Result<HttpResponse, HttpError>& result) { handleBookingResult(partition, number, attempt, result); });
}

void ServiceDispatcher::handleBookingResult(std::size_t partition, RequestId request, std::uint64_t attempt, const Result<HttpResponse, HttpError>& result)
{
    logEvent(LogEvent::BookingSettled, { { "call", request.value() }, { "status", result ? std::to_string(result->status) : result.error().detail } });
    m_calls.at(request)->isBookingRunning = false;
    m_partitions[partition]->feed(bookingEvent(attempt, result));
    // The caller of this call may have been answered earlier, at its deadline.
    const auto found = m_calls.find(request);
    if (found != m_calls.end() && !found->second->stream)
        remove(found);
}

void ServiceDispatcher::replyToBooking(const BookingReply& action)
{
    const auto found = m_calls.find(action.request);
    if (found == m_calls.end())
        return;
    const bool called = found->second->called;
    if (!called && std::holds_alternative<ServiceResult>(action.answer))
        m_context.metrics->add(Counter::BookingsReplayed);
    answer(action.request, bookingOutcome(action.answer, called));
}

void ServiceDispatcher::answer(RequestId request, const RunMessage& message)
{
    const auto found = m_calls.find(request);
    if (found == m_calls.end())
        return;
    if (found->second->stream)
        found->second->stream->sendMessage(message);
    else
        remove(found);
}

void ServiceDispatcher::streamDrained(RunStream&)
{
}

void ServiceDispatcher::streamCancelled(RunStream& stream)
{
    // The call continues, because this process cannot undo a request that the service may have received.
    streamLost(stream);
}

void ServiceDispatcher::streamLost(RunStream& stream)
{
    const auto found = find(stream);
    if (found == m_calls.end())
        return;
    if (!found->second->orderReceived) {
        remove(found);
        return;
    }
    releaseStream(*found->second);
}

void ServiceDispatcher::releaseStream(Call& call)
{
    post([ended = std::shared_ptr<RunStream>(std::move(call.stream))] {});
}

void ServiceDispatcher::streamDone(RunStream& stream)
{
    const auto found = find(stream);
    if (found != m_calls.end())
        remove(found);
}

ServiceDispatcher::Calls::iterator ServiceDispatcher::find(const RunStream& stream)
{
    return std::find_if(m_calls.begin(), m_calls.end(), [&](const auto& call) { return call.second->stream.get() == &stream; });
}

void ServiceDispatcher::remove(Calls::iterator call)
{
    // The outcome belongs to the booking, which other callers ask for too.
    if (call->second->isBookingRunning) {
        releaseStream(*call->second);
        return;
    }
    post([ended = std::shared_ptr<Call>(std::move(call->second))] {});
    m_calls.erase(call);
}

nlohmann::json ServiceDispatcher::dump() const
{
    auto partitions = nlohmann::json::array();
    for (const auto& partition : m_partitions)
        partitions.push_back(partition->dump());
    return { { "leaving", m_leaving }, { "calls", m_calls.size() }, { "bookings", std::move(partitions) } };
}

} // namespace hornbeamgate
