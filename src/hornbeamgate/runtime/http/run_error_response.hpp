#pragma once

#include "hornbeamgate/streams/run_message.hpp"

#include <string>

namespace hornbeamgate {

/// HTTP status that callers see for `error`.
unsigned httpStatus(RunError error);

/// JSON body `{"error":{"code":..,"message":..,"not_run":true|"unknown"}}`.
std::string errorBody(const RunFailed& failure);

/// The same as an event of a stream that has already begun; no whole answer ends with it.
std::string errorEvent(const RunFailed& failure);

} // namespace hornbeamgate
