#include "engine/answer.hpp"

#include "hornbeamgate/base/hash.hpp"

#include <nlohmann/json.hpp>

#include <array>

namespace hornbeamgate::standins {

namespace {

    constexpr std::uint64_t kBytesPerToken = 4;
    constexpr std::array kWords { "haul", "well", "spring", "tanker", "karst", "cistern", "village", "bucket", "rota", "dry",
        "rain", "pump", "crew", "truck", "level", "feed" };

} // namespace

Answer::Answer(const CompletionRequest& request, std::uint64_t weightsVersion)
    : m_kind(request.kind)
    , m_model(request.model)
    , m_hash(stableHash(request.prompt, stableHash(request.model, weightsVersion)))
    , m_maxTokens(request.maxTokens)
    , m_promptBytes(request.prompt.size())
{
}

std::string Answer::event(std::uint64_t index) const
{
    const std::string head = "id: " + std::to_string(index) + "\ndata: ";
    if (index >= m_maxTokens)
        return head + "[DONE]\n\n";
    const bool last = index + 1 == m_maxTokens;
    nlohmann::json choice { { "index", 0 }, { "finish_reason", last ? nlohmann::json("length") : nlohmann::json() } };
    if (m_kind == CompletionKind::Chat)
        choice["delta"] = { { "content", token(index) } };
    else
        choice["text"] = token(index);
    const nlohmann::json chunk {
        { "id", id() },
        { "object", m_kind == CompletionKind::Chat ? "chat.completion.chunk" : "text_completion" },
        { "created", 0 },
        { "model", m_model },
        { "choices", nlohmann::json::array({ choice }) },
    };
    return head + chunk.dump() + "\n\n";
}

nlohmann::json Answer::whole() const
{
    std::string text;
    for (std::uint64_t index = 0; index < m_maxTokens; ++index)
        text += token(index);
    nlohmann::json choice { { "index", 0 }, { "finish_reason", "length" } };
    if (m_kind == CompletionKind::Chat)
        choice["message"] = { { "role", "assistant" }, { "content", text } };
    else
        choice["text"] = text;
    const std::uint64_t promptTokens = (m_promptBytes + kBytesPerToken - 1) / kBytesPerToken;
    return {
        { "id", id() },
        { "object", m_kind == CompletionKind::Chat ? "chat.completion" : "text_completion" },
        { "created", 0 },
        { "model", m_model },
        { "choices", nlohmann::json::array({ choice }) },
        { "usage",
            { { "prompt_tokens", promptTokens }, { "completion_tokens", m_maxTokens },
                { "total_tokens", promptTokens + m_maxTokens } } },
    };
}

std::string Answer::token(std::uint64_t index) const
{
    const std::uint64_t hash = stableHash(std::to_string(index), m_hash);
    return std::string(" ") + kWords[hash % kWords.size()] + std::to_string(hash / kWords.size() % 1000);
}

std::string Answer::id() const
{
    return "cmpl-" + std::to_string(m_hash);
}

} // namespace hornbeamgate::standins
