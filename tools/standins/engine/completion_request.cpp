#include "engine/completion_request.hpp"

#include <nlohmann/json.hpp>

namespace hornbeamgate::standins {

namespace {

    constexpr std::uint64_t kDefaultMaxTokens = 16;
    constexpr std::uint64_t kLargestMaxTokens = 100000;

} // namespace

Result<CompletionRequest, std::string> parseCompletionRequest(CompletionKind kind, std::string_view body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object())
        return failure(std::string("the body is no JSON object"));
    CompletionRequest request;
    request.kind = kind;
    const auto model = json.value("model", nlohmann::json());
    if (!model.is_string())
        return failure(std::string("\"model\" is missing or no string"));
    request.model = model;

    const char* promptKey = kind == CompletionKind::Chat ? "messages" : "prompt";
    const auto prompt = json.value(promptKey, nlohmann::json());
    const bool promptFits = kind == CompletionKind::Chat ? prompt.is_array() && !prompt.empty() : prompt.is_string();
    if (!promptFits)
        return failure("\"" + std::string(promptKey) + "\" is missing or has the wrong type");
    request.prompt = kind == CompletionKind::Chat ? prompt.dump() : prompt.get<std::string>();

    const auto maxTokens = json.value("max_tokens", nlohmann::json(kDefaultMaxTokens));
    if (!maxTokens.is_number_unsigned() || maxTokens == 0U || maxTokens > kLargestMaxTokens)
        return failure(std::string("\"max_tokens\" is no number from 1 to 100000"));
    request.maxTokens = maxTokens;

    const auto stream = json.value("stream", nlohmann::json(false));
    if (!stream.is_boolean())
        return failure(std::string("\"stream\" is neither true nor false"));
    request.stream = stream;
    return request;
}

} // namespace hornbeamgate::standins
