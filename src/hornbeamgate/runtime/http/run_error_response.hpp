#pragma once

#include "hornbeamgate/streams/run_message.hpp"

#include <string>

namespace hornbeamgate {

/// HTTP status code sent to clients for `error`.
unsigned httpStatus(RunError error);

/// JSON body `{"error":{"code":..,"message":..,"not_run":true|"unknown"}}`.
std::string errorBody(const RunFailed& failure);

/// Error body as a server-sent event for a stream that has already started; a complete response never ends with it.
std::string errorEvent(const RunFailed& failure);

} // namespace hornbeamgate
