#include "hornbeamgate/runtime/http/run_error_response.hpp"

#include <nlohmann/json.hpp>

namespace hornbeamgate {

unsigned httpStatus(RunError error)
{
    switch (error) {
    case RunError::BadRequest:
        return 400;
    case RunError::KeyMissing:
    case RunError::KeyRefused:
        return 401;
    case RunError::UnknownRoute:
    case RunError::UnknownModel:
        return 404;
    case RunError::InProgress:
    case RunError::KeyReused:
    case RunError::KeyTooOld:
        return 409;
    case RunError::BodyTooLarge:
        return 413;
    case RunError::RateExceeded:
    case RunError::QueueFull:
        return 429;
    case RunError::EndpointFailed:
    case RunError::StreamInterrupted:
    case RunError::EngineChanged:
    case RunError::RunUnknown:
        return 502;
    case RunError::KeysUnverified:
    case RunError::RateUnavailable:
    case RunError::NoEndpoint:
    case RunError::DeadlineUnreachable:
    case RunError::EndpointLeaving:
    case RunError::BookingUnavailable:
    case RunError::NotReady:
        return 503;
    case RunError::OutcomeUnknown:
        return 504;
    case RunError::InternalError:
    case RunError::ErrorCount:
        break;
    }
    return 500;
}

std::string errorBody(const RunFailed& failure)
{
    nlohmann::json error {
        { "code", runErrorName(failure.error) },
        { "message", failure.detail },
    };
    if (failure.notRun)
        error["not_run"] = true;
    else
        error["not_run"] = "unknown";
    return nlohmann::json { { "error", error } }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string errorEvent(const RunFailed& failure)
{
    return "event: error\ndata: " + errorBody(failure) + "\n\n";
}

} // namespace hornbeamgate
