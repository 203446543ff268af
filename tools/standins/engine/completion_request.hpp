#pragma once

#include "hornbeamgate/base/result.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace hornbeamgate::standins {

/// Which of the two usual interfaces a request came by; it decides the shape of the answer.
enum class CompletionKind {
    Text, ///< `/v1/completions`
    Chat, ///< `/v1/chat/completions`
};

/// Checked body of a completion request.
struct CompletionRequest {
    CompletionKind kind = CompletionKind::Text;
    std::string model;
    std::string prompt; ///< text, or the messages in canonical JSON
    std::uint64_t maxTokens = 0;
    bool stream = false;
};

/// Reads the body of a completion request; the error is a sentence about its first fault.
Result<CompletionRequest, std::string> parseCompletionRequest(CompletionKind kind, std::string_view body);

} // namespace hornbeamgate::standins
