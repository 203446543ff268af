#include "hornbeamgate/streams/completion_assembler.hpp"

#include "hornbeamgate/base/json_document.hpp"

#include <nlohmann/json.hpp>

#include <map>

namespace hornbeamgate {

using nlohmann::json;

namespace {

    struct Choice {
        std::string text;
        json finishReason;
    };

    constexpr std::string_view kDoneMarker = "[DONE]";

} // namespace

struct CompletionAssembler::State {
    RunKind kind;
    json envelope = json::object(); ///< `id`, `model` and the other fields that are the same in all chunks
    json usage;
    std::map<std::uint64_t, Choice> choices;

    void addChoice(const json& chunk)
    {
        auto& choice = choices[chunk.value("index", std::uint64_t { 0 })];
        if (kind == RunKind::ChatCompletion)
            choice.text += chunk.at("delta").value("content", "");
        else
            choice.text += chunk.value("text", "");
        if (chunk.contains("finish_reason") && !chunk.at("finish_reason").is_null())
            choice.finishReason = chunk.at("finish_reason");
    }

    void addChunk(const json& chunk)
    {
        if (envelope.empty()) {
            envelope = chunk;
            envelope.erase("choices");
            envelope["object"] = kind == RunKind::ChatCompletion ? "chat.completion" : "text_completion";
        }
        if (chunk.contains("usage") && !chunk.at("usage").is_null())
            usage = chunk.at("usage");
        for (const auto& choice : chunk.at("choices"))
            addChoice(choice);
    }

    json choiceJson(std::uint64_t index, const Choice& choice) const
    {
        json item { { "index", index }, { "finish_reason", choice.finishReason } };
        if (kind == RunKind::ChatCompletion)
            item["message"] = { { "role", "assistant" }, { "content", choice.text } };
        else
            item["text"] = choice.text;
        return item;
    }
};

CompletionAssembler::CompletionAssembler(RunKind kind)
    : m_state(std::make_unique<State>())
{
    m_state->kind = kind;
}

CompletionAssembler::~CompletionAssembler() = default;
CompletionAssembler::CompletionAssembler(CompletionAssembler&&) noexcept = default;
CompletionAssembler& CompletionAssembler::operator=(CompletionAssembler&&) noexcept = default;

Result<void, CodecError> CompletionAssembler::add(std::string_view data)
{
    if (data == kDoneMarker)
        return {};
    const auto chunk = parseJson(data);
    if (!chunk)
        return failure(chunk.error());
    try {
        m_state->addChunk(*chunk);
    } catch (const json::exception& error) {
        return failure(CodecError { error.what() });
    }
    return {};
}

std::string CompletionAssembler::finish() const
{
    json response = m_state->envelope;
    response["choices"] = json::array();
    for (const auto& [index, choice] : m_state->choices)
        response["choices"].push_back(m_state->choiceJson(index, choice));
    if (!m_state->usage.is_null())
        response["usage"] = m_state->usage;
    return response.dump();
}

} // namespace hornbeamgate
