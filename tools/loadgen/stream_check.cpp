#include "stream_check.hpp"

#include <nlohmann/json.hpp>

namespace hornbeamgate::loadgen {

namespace {

    constexpr std::string_view kEventEnd = "\n\n";
    constexpr std::string_view kDataField = "data:";
    constexpr std::string_view kIdField = "id:";

    std::string_view withoutLeadingSpace(std::string_view text)
    {
        return text.starts_with(' ') ? text.substr(1) : text;
    }

    /// Text that a completion chunk adds, of either interface.
    std::string chunkText(const nlohmann::json& chunk)
    {
        if (!chunk.is_object() || !chunk.contains("choices") || !chunk["choices"].is_array() || chunk["choices"].empty())
            return {};
        const auto& choice = chunk["choices"][0];
        if (choice.contains("text") && choice["text"].is_string())
            return choice["text"];
        const auto delta = choice.value("delta", nlohmann::json::object());
        return delta.contains("content") && delta["content"].is_string() ? delta["content"] : "";
    }

} // namespace

StreamCheck::StreamCheck(standins::Answer expected)
    : m_expected(std::move(expected))
{
}

std::size_t StreamCheck::feed(std::string_view bytes)
{
    m_buffer += bytes;
    std::size_t events = 0;
    std::size_t begin = 0;
    for (std::size_t end = m_buffer.find(kEventEnd); end != std::string::npos; end = m_buffer.find(kEventEnd, begin)) {
        takeEvent(std::string_view(m_buffer).substr(begin, end - begin));
        begin = end + kEventEnd.size();
        ++events;
    }
    m_buffer.erase(0, begin);
    return events;
}

void StreamCheck::takeEvent(std::string_view event)
{
    if (m_verdict == StreamVerdict::Wrong)
        return;
    if (m_verdict != StreamVerdict::Incomplete) {
        fail(StreamVerdict::Wrong, "an event after the end");
        return;
    }
    while (!event.empty()) {
        const std::string_view line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(event.size(), line.size() + 1));
        if (line.starts_with(kIdField) && withoutLeadingSpace(line.substr(kIdField.size())) != std::to_string(m_next))
            fail(StreamVerdict::Wrong, "an id out of order");
        else if (line.starts_with(kDataField))
            takeData(withoutLeadingSpace(line.substr(kDataField.size())));
    }
}

void StreamCheck::takeData(std::string_view data)
{
    const std::uint64_t index = m_next++;
    const bool last = index + 1 == m_expected.eventCount();
    if (data == "[DONE]") {
        if (last)
            m_verdict = StreamVerdict::Complete;
        else
            fail(StreamVerdict::Wrong, "[DONE] before the last token");
        return;
    }
    const auto chunk = nlohmann::json::parse(data, nullptr, false);
    if (chunk.is_object() && chunk.contains("error"))
        fail(StreamVerdict::Failed, errorCode(data));
    else if (last || chunkText(chunk) != m_expected.token(index))
        fail(StreamVerdict::Wrong, "a token that was not expected");
}

void StreamCheck::fail(StreamVerdict verdict, std::string detail)
{
    m_verdict = verdict;
    m_detail = std::move(detail);
}

std::string errorCode(std::string_view body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object())
        return "unreadable";
    const auto error = json.value("error", nlohmann::json());
    if (!error.is_object() || !error.contains("code") || !error["code"].is_string())
        return "unreadable";
    return error["code"];
}

} // namespace hornbeamgate::loadgen
