#pragma once

#include "hornbeamgate/runtime/net/http_message.hpp"

namespace hornbeamgate::gateway {

/// Bounds on one message.
struct HttpParserLimits {
    std::size_t maxHeadBytes = 65536;
    std::size_t maxBodyBytes = SIZE_MAX;
};

/// Cuts the octets of one connection into HTTP/1.1 messages. It stops after each message, so that nothing of the next
/// one is handled before its turn.
class HttpParser {
public:
    struct Handlers {
        std::function<void(HttpRequestHead)> requestHead; ///< for parsers of requests
        std::function<void(HttpResponseHead)> responseHead; ///< for parsers of responses
        std::function<void(std::string_view)> body;
        std::function<void()> complete;
    };

    static std::unique_ptr<HttpParser> forRequests(HttpParserLimits limits, Handlers handlers);
    static std::unique_ptr<HttpParser> forResponses(HttpParserLimits limits, Handlers handlers);
    ~HttpParser();
    HttpParser(const HttpParser&) = delete;
    HttpParser& operator=(const HttpParser&) = delete;

    /// Parses up to the end of a message and returns how many octets it took. Handlers must not destroy the parser.
    Result<std::size_t, HttpParseError> feed(std::string_view octets);

    /// The peer closed in order, which completes a body without another end.
    Result<void, HttpParseError> finish();

    /// True after a message has begun and until it is complete.
    bool isInsideMessage() const;

    /// The next response has no body, whatever its fields say.
    void expectNoBody(bool noBody);

private:
    struct State;
    explicit HttpParser(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

} // namespace hornbeamgate::gateway
