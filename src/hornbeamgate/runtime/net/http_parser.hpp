#pragma once

#include "hornbeamgate/runtime/net/http_message.hpp"

namespace hornbeamgate::gateway {

/// Size limits for one message.
struct HttpParserLimits {
    std::size_t maxHeadBytes = 65536; ///< with separators and line ends, and with the interim responses before it
    std::size_t maxBodyBytes = SIZE_MAX;
};

/// Incremental parser for the HTTP/1.1 messages of one connection. It stops after each message, so that pipelined
/// messages are handled one at a time. Chunk framing, chunk extensions and trailers are discarded as they arrive, and so
/// are interim responses. Responses are checked by RFC 9110 and 9112, since http_parser accepts more.
class HttpParser {
public:
    struct Handlers {
        std::function<void(HttpRequestHead)> requestHead; ///< only called by request parsers
        std::function<void(HttpResponseHead)> responseHead; ///< only called by response parsers
        std::function<void(std::string_view)> body;
        std::function<void()> complete;
    };

    static std::unique_ptr<HttpParser> forRequests(HttpParserLimits limits, Handlers handlers);
    static std::unique_ptr<HttpParser> forResponses(HttpParserLimits limits, Handlers handlers);
    ~HttpParser();
    HttpParser(const HttpParser&) = delete;
    HttpParser& operator=(const HttpParser&) = delete;

    /// Parses at most up to the end of a message and returns the number of bytes consumed. Handlers must not destroy the
    /// parser.
    Result<std::size_t, HttpParseError> feed(std::string_view octets);

    /// Signals an orderly close by the peer, which completes a body that is delimited by the end of the connection.
    Result<void, HttpParseError> finish();

    /// Memory that the unfinished head takes.
    std::size_t heldBytes() const;

    /// Whether a message has started and is not complete yet.
    bool isInsideMessage() const;

    /// Sets whether responses have no body regardless of their header fields, as for HEAD requests.
    void expectNoBody(bool noBody);

private:
    struct State;
    explicit HttpParser(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

} // namespace hornbeamgate::gateway
