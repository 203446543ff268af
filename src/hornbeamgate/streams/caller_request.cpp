#include "hornbeamgate/streams/caller_request.hpp"

#include "hornbeamgate/base/json_document.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hornbeamgate {

using nlohmann::json;

namespace {

    constexpr std::uint64_t kDefaultMaxTokens = 256;
    constexpr std::uint64_t kMaxTokensLimit = 1'000'000;
    constexpr std::uint64_t kBytesPerToken = 4;
    constexpr std::size_t kMaxIdempotencyKeyBytes = 255;
    constexpr std::string_view kServicesPrefix = "/services/";

    auto badRequest(std::string detail)
    {
        return failure(CallerRequestError { RunError::BadRequest, std::move(detail) });
    }

    Result<std::string, CallerRequestError> parseContentText(const json& content)
    {
        if (content.is_string())
            return content.get<std::string>();
        if (!content.is_array())
            return badRequest("a message's content must be a text or a list of parts");
        std::string text;
        for (const auto& part : content) {
            const bool isText = part.is_object() && part.contains("text") && part.at("text").is_string();
            if (!isText)
                return badRequest("a content part must have a text");
            text += part.at("text").get_ref<const std::string&>();
        }
        return text;
    }

    Result<std::string, CallerRequestError> parseChatPrompt(const json& body)
    {
        const auto messages = body.find("messages");
        if (messages == body.end() || !messages->is_array() || messages->empty())
            return badRequest("messages must be a non-empty list");
        std::string prompt;
        for (const auto& message : *messages) {
            const bool hasRole = message.is_object() && message.contains("role") && message.at("role").is_string();
            if (!hasRole || !message.contains("content"))
                return badRequest("each message must have a role and a content");
            const auto text = parseContentText(message.at("content"));
            if (!text)
                return failure(text.error());
            prompt += message.at("role").get_ref<const std::string&>() + '\n' + *text + '\n';
        }
        return prompt;
    }

    Result<std::string, CallerRequestError> parseCompletionPrompt(const json& body)
    {
        const auto prompt = body.find("prompt");
        if (prompt == body.end() || !prompt->is_string())
            return badRequest("prompt must be a text");
        return prompt->get<std::string>();
    }

    Result<std::uint64_t, CallerRequestError> parseMaxTokens(const json& body)
    {
        const auto value = body.find("max_tokens");
        if (value == body.end() || value->is_null())
            return kDefaultMaxTokens;
        const bool valid = value->is_number_integer() && *value >= 1 && *value <= kMaxTokensLimit;
        if (!valid)
            return badRequest("max_tokens must be a whole number from 1 to 1000000");
        return value->get<std::uint64_t>();
    }

    Result<bool, CallerRequestError> parseStreamFlag(const json& body)
    {
        const auto value = body.find("stream");
        if (value == body.end() || value->is_null())
            return false;
        if (!value->is_boolean())
            return badRequest("stream must be true or false");
        return value->get<bool>();
    }

} // namespace

std::uint64_t CompletionRequest::estimatedTokens() const
{
    return promptBytes / kBytesPerToken + 1 + maxTokens;
}

Result<CompletionRequest, CallerRequestError> parseCompletionRequest(RunKind kind, std::string_view body)
{
    auto document = parseJson(body);
    if (!document)
        return badRequest("the body is not valid JSON in UTF-8 within the bounds on nesting and memory");
    auto& parsed = *document;
    if (!parsed.is_object())
        return badRequest("the body must be a JSON object");
    const auto model = parsed.find("model");
    if (model == parsed.end() || !model->is_string() || model->get_ref<const std::string&>().empty())
        return badRequest("model must be a non-empty text");
    auto prompt = kind == RunKind::ChatCompletion ? parseChatPrompt(parsed) : parseCompletionPrompt(parsed);
    if (!prompt)
        return failure(prompt.error());
    const auto maxTokens = parseMaxTokens(parsed);
    if (!maxTokens)
        return failure(maxTokens.error());
    const auto stream = parseStreamFlag(parsed);
    if (!stream)
        return failure(stream.error());

    CompletionRequest request;
    request.kind = kind;
    request.model = ModelId(model->get<std::string>());
    request.stream = *stream;
    request.prompt = std::move(*prompt);
    request.promptBytes = request.prompt.size();
    request.maxTokens = *maxTokens;
    parsed["stream"] = true;
    parsed["max_tokens"] = *maxTokens;
    request.engineBody = parsed.dump();
    return request;
}

std::string serviceName(std::string_view path)
{
    if (!path.starts_with(kServicesPrefix))
        return {};
    const auto rest = path.substr(kServicesPrefix.size());
    return std::string(rest.substr(0, rest.find_first_of("/?")));
}

std::string servicePath(std::string_view target)
{
    const auto rest = target.substr(std::min(target.size(), kServicesPrefix.size() + serviceName(target).size()));
    std::string path;
    if (!rest.starts_with('/'))
        path.push_back('/');
    path += rest;
    return path;
}

bool isValidIdempotencyKey(std::string_view key)
{
    const auto isVisible = [](char c) { return c > ' ' && c <= '~'; };
    return !key.empty() && key.size() <= kMaxIdempotencyKeyBytes && std::all_of(key.begin(), key.end(), isVisible);
}

} // namespace hornbeamgate
