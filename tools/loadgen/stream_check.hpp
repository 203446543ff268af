#pragma once

#include "engine/answer.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace hornbeamgate::loadgen {

enum class StreamVerdict {
    Incomplete, ///< more must come
    Complete, ///< every token came once and in order, then `[DONE]`
    Failed, ///< the stream ended with an explicit error
    Wrong, ///< an event is not the one expected; it may belong to another request
};

/// Checks the events of one streamed answer against the answer that the stand-in engine gives to the same request.
class StreamCheck {
public:
    explicit StreamCheck(standins::Answer expected);

    /// Takes the next bytes of the body and returns how many whole events they ended.
    std::size_t feed(std::string_view bytes);

    StreamVerdict verdict() const { return m_verdict; }

    /// Code of the error that ended the stream, or what was wrong.
    const std::string& detail() const { return m_detail; }

private:
    void takeEvent(std::string_view event);
    void takeData(std::string_view data);
    void fail(StreamVerdict verdict, std::string detail);

    standins::Answer m_expected;
    std::string m_buffer;
    std::uint64_t m_next = 0;
    StreamVerdict m_verdict = StreamVerdict::Incomplete;
    std::string m_detail;
};

/// Code in an error body of the usual shape; `unreadable` when there is none.
std::string errorCode(std::string_view body);

} // namespace hornbeamgate::loadgen
