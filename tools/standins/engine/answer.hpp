#pragma once

#include "engine/completion_request.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>

namespace hornbeamgate::standins {

/// Answer to one prompt. Its tokens depend on nothing but the prompt, the model and the weights version, so any two
/// complete answers to the same request are equal.
class Answer {
public:
    Answer(const CompletionRequest& request, std::uint64_t weightsVersion);

    /// Number of stream events: one a token, and `[DONE]`.
    std::uint64_t eventCount() const { return m_maxTokens + 1; }

    /// Stream event `index` in the form that goes over the wire.
    std::string event(std::uint64_t index) const;

    /// Whole answer for a request without `stream`.
    nlohmann::json whole() const;

    /// Text of token `index`.
    std::string token(std::uint64_t index) const;

private:
    std::string id() const;

    CompletionKind m_kind;
    std::string m_model;
    std::uint64_t m_hash;
    std::uint64_t m_maxTokens;
    std::uint64_t m_promptBytes;
};

} // namespace hornbeamgate::standins
