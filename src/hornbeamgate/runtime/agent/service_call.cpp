#include "hornbeamgate/runtime/agent/service_call.hpp"

namespace hornbeamgate {

namespace {

    RunError toRunError(NotRunReason reason)
    {
        switch (reason) {
        case NotRunReason::LogUnavailable:
        case NotRunReason::HistoryLost:
            return RunError::BookingUnavailable;
        case NotRunReason::EndpointUnreachable:
            return RunError::EndpointFailed;
        case NotRunReason::Overloaded:
            return RunError::QueueFull;
        case NotRunReason::KeyReused:
            return RunError::KeyReused;
        case NotRunReason::KeyExpired:
            return RunError::KeyTooOld;
        case NotRunReason::KeyNotYetValid:
            return RunError::BadRequest;
        }
        return RunError::InternalError;
    }

    struct OutcomeMessage {
        bool called;

        RunMessage operator()(const ServiceResult& result) const
        {
            return ServiceResponse { result.status, result.contentType, { result.body.begin(), result.body.end() }, !called };
        }
        RunMessage operator()(const NotRun& answer) const
        {
            return RunFailed { toRunError(answer.reason), true, std::string(toString(answer.reason)) };
        }
        RunMessage operator()(const InProgress&) const
        {
            return RunFailed { RunError::InProgress, false, "the booking is being run; repeat with the same key" };
        }
        RunMessage operator()(const OutcomeUnknown&) const
        {
            return RunFailed { RunError::OutcomeUnknown, false, "the booking may have run; it will not be run again" };
        }
    };

} // namespace

HttpRequest makeServiceRequest(const RunOrder& order, const SocketAddress& service)
{
    HttpRequest request;
    request.method = order.method;
    request.address = service;
    request.target = order.path;
    request.contentType = order.contentType;
    request.body.assign(order.body.begin(), order.body.end());
    request.headers = { { "X-Workspace", order.workspace.value() } };
    if (!order.idempotencyKey.empty())
        request.headers.push_back({ "Idempotency-Key", order.idempotencyKey });
    // The server may have closed an idle pooled connection without this process noticing. A non-idempotent call can't be
    // retried safely after such a failure, so it uses a new connection.
    request.newConnection = !order.idempotent;
    return request;
}

RunMessage serviceOutcome(const Result<HttpResponse, HttpError>& result)
{
    if (result)
        return ServiceResponse { result->status, result->contentType, result->body, false };
    const bool sent = result.error().sent();
    return RunFailed { sent ? RunError::OutcomeUnknown : RunError::EndpointFailed, !sent, result.error().detail };
}

RunMessage bookingOutcome(const BookingAnswer& answer, bool called)
{
    return std::visit(OutcomeMessage { called }, answer);
}

} // namespace hornbeamgate
