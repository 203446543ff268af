#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/streams/run_message.hpp"
#include "hornbeamgate/streams/run_order.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace hornbeamgate {

/// Error in a caller's request body, with a description for the caller.
struct CallerRequestError {
    RunError error = RunError::BadRequest;
    std::string detail;
};

/// Parsed completion request with the properties needed for routing.
struct CompletionRequest {
    RunKind kind = RunKind::Completion;
    ModelId model;
    bool stream = false;
    std::string prompt; ///< text that the prefix blocks are computed from; for chats, all roles and contents in order
    std::size_t promptBytes = 0; ///< size of `prompt`, kept because `prompt` may be freed once its blocks are computed
    std::uint64_t maxTokens = 0;
    std::string engineBody; ///< the caller's body with `stream` set to true and `max_tokens` filled in

    /// Estimated total of prompt tokens and generated tokens.
    std::uint64_t estimatedTokens() const;
};

/// Parses the request body of `/v1/completions` or `/v1/chat/completions`.
Result<CompletionRequest, CallerRequestError> parseCompletionRequest(RunKind kind, std::string_view body);

/// Extracts the service name from a path of the form `/services/NAME` or `/services/NAME/...`; empty for other paths.
std::string serviceName(std::string_view path);

/// Path and query to send to the service: the part after `/services/NAME`, with a leading slash.
std::string servicePath(std::string_view target);

/// Returns true if `key` consists of 1 to 255 visible ASCII characters.
bool isValidIdempotencyKey(std::string_view key);

} // namespace hornbeamgate
