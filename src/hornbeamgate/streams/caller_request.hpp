#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/streams/run_message.hpp"
#include "hornbeamgate/streams/run_order.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace hornbeamgate {

/// Refusal of a request's body, with a text for the caller.
struct CallerRequestError {
    RunError error = RunError::BadRequest;
    std::string detail;
};

/// What the router needs to know of a completion request.
struct CompletionRequest {
    RunKind kind = RunKind::Completion;
    ModelId model;
    bool stream = false;
    std::string prompt; ///< text that prefix blocks are cut from; for chats the roles and contents in order
    std::size_t promptBytes = 0; ///< size of the prompt, which may be dropped once its blocks are known
    std::uint64_t maxTokens = 0;
    std::string engineBody; ///< the caller's body, with streaming switched on

    /// Estimated prompt and generated tokens.
    std::uint64_t estimatedTokens() const;
};

/// Parses the body of `/v1/completions` or `/v1/chat/completions`.
Result<CompletionRequest, CallerRequestError> parseCompletionRequest(RunKind kind, std::string_view body);

/// Name of the service in a path of the form `/services/NAME` or `/services/NAME/...`; empty when there is none.
std::string serviceName(std::string_view path);

/// Path and query that the service itself sees: what follows `/services/NAME`, with a leading slash.
std::string servicePath(std::string_view target);

/// Whether an idempotency key has an allowed form: 1 to 255 visible ASCII characters.
bool isValidIdempotencyKey(std::string_view key);

} // namespace hornbeamgate
