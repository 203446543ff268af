#include "hornbeamgate/runtime/net/http_parser.hpp"

#include "hornbeamgate/runtime/net/internal/head_line_check.hpp"

#include <http_parser.h>

#include <algorithm>
#include <utility>

namespace hornbeamgate::gateway {

namespace {

    /// Returns `octets` up to the first line feed.
    std::string_view firstLine(std::string_view octets)
    {
        const auto lineFeed = octets.find('\n');
        return lineFeed == std::string_view::npos ? octets : octets.substr(0, lineFeed + 1);
    }

    constexpr int kStatusClass = 100;
    constexpr int kSwitchingProtocols = 101;
    /// Range of valid statuses (RFC 9110, 15).
    constexpr int kFirstStatus = 100;
    constexpr int kLastStatus = 599;

} // namespace

struct HttpParser::State {
    http_parser parser {};
    http_parser_type type = HTTP_REQUEST;
    HttpParserLimits limits;
    Handlers handlers;
    std::string target;
    HttpFields fields;
    enum class FieldPart { None,
        Name,
        Value } fieldPart
        = FieldPart::None; ///< part of the last field that arrived last
    bool isReadingHead = true;
    internal::HeadLineCheck lineCheck { false };
    bool isAtChunkLineEnd = false;
    std::string lastOctets; ///< the last two that were parsed, for the line ends of chunks
    bool isInside = false;
    bool isComplete = false;
    bool noBody = false;
    std::size_t headBytes = 0;
    std::size_t bodyBytes = 0;
    std::size_t trailerBytes = 0;
    std::optional<HttpParseError> fault;

    static State& of(http_parser* parser) { return *static_cast<State*>(parser->data); }

    int fail(std::string detail, bool isTooLarge = false)
    {
        fault = HttpParseError { std::move(detail), isTooLarge };
        return 1;
    }

    int addTrailerBytes(std::size_t count)
    {
        trailerBytes += count;
        return trailerBytes > limits.maxHeadBytes ? fail("the trailer is too large", true) : 0;
    }

    void keepLastOctets(std::string_view octets)
    {
        constexpr std::size_t kKept = 2;
        lastOctets += octets.substr(octets.size() - std::min(octets.size(), kKept));
        lastOctets.erase(0, lastOctets.size() - std::min(lastOctets.size(), kKept));
    }

    /// Checks the line end that was parsed last if it belongs to the framing of a chunked body, and lets the parser go on.
    /// http_parser takes any two octets for the line end of a chunk.
    bool acceptsChunkLineEnd()
    {
        if (std::exchange(isAtChunkLineEnd, false)) {
            http_parser_pause(&parser, 0);
            return lastOctets == "\r\n";
        }
        return !isComplete || !(parser.flags & F_CHUNKED) || lastOctets.ends_with('\n');
    }

    void endField()
    {
        if (fieldPart == FieldPart::Name)
            fields.beginValue();
        if (fieldPart != FieldPart::None)
            fields.endField();
        fieldPart = FieldPart::None;
    }

    bool isInterim() const
    {
        return type == HTTP_RESPONSE && parser.status_code / kStatusClass == 1 && parser.status_code != kSwitchingProtocols;
    }

    static int onBegin(http_parser* parser)
    {
        auto& self = of(parser);
        self.target.clear();
        self.fields = {};
        self.fieldPart = FieldPart::None;
        self.bodyBytes = 0;
        self.trailerBytes = 0;
        self.isInside = true;
        return 0;
    }

    static int onTarget(http_parser* parser, const char* at, std::size_t length)
    {
        of(parser).target.append(at, length);
        return 0;
    }

    static int onReason(http_parser* parser, const char* at, std::size_t length)
    {
        return isFieldValue({ at, length }) ? 0 : of(parser).fail("control character in the reason phrase");
    }

    static int onName(http_parser* parser, const char* at, std::size_t length)
    {
        auto& self = of(parser);
        if (length > 0 && !isToken({ at, length }))
            return self.fail("malformed field name");
        if (!self.isReadingHead)
            return self.addTrailerBytes(length);
        if (self.fieldPart != FieldPart::Name)
            self.endField();
        self.fieldPart = FieldPart::Name;
        self.fields.appendName({ at, length });
        return 0;
    }

    static int onValue(http_parser* parser, const char* at, std::size_t length)
    {
        auto& self = of(parser);
        if (!isFieldValue({ at, length }))
            return self.fail("control character in a field value");
        if (!self.isReadingHead)
            return self.addTrailerBytes(length);
        if (self.fieldPart == FieldPart::Name)
            self.fields.beginValue();
        self.fieldPart = FieldPart::Value;
        self.fields.appendValue({ at, length });
        return 0;
    }

    bool hasUnnamedField() const
    {
        bool isFound = false;
        fields.visit([&isFound](const HttpField& field) {
            isFound = field.name.empty();
            return !isFound;
        });
        return isFound;
    }

    /// Whether the fields of a response that say how long its body is can be relied on. http_parser ignores an empty
    /// Content-Length and codings besides chunked, which no request asks for. HTTP/1.0 has no codings (RFC 9112, 6.1).
    bool hasValidFraming() const
    {
        const auto codings = fields.findAll("Transfer-Encoding");
        if (!codings.empty())
            return codings.size() == 1 && equalsIgnoringCase(codings.front(), "chunked") && (parser.flags & F_CHUNKED) && parser.http_minor > 0;
        return parser.content_length != ULLONG_MAX || !fields.find("Content-Length");
    }

    static int onHead(http_parser* parser)
    {
        constexpr int kSkipBody = 1;
        auto& self = of(parser);
        self.endField();
        if (self.hasUnnamedField()) {
            self.fail("malformed field name");
            return -1;
        }
        self.isReadingHead = self.isInterim();
        if (self.type == HTTP_REQUEST) {
            HttpRequestHead head { http_method_str(static_cast<http_method>(parser->method)), std::exchange(self.target, {}), std::exchange(self.fields, {}),
                http_should_keep_alive(parser) != 0 };
            self.handlers.requestHead(std::move(head));
            return 0;
        }
        self.lineCheck.startHead();
        if (parser->status_code < kFirstStatus || parser->status_code > kLastStatus) {
            self.fail("invalid status " + std::to_string(parser->status_code));
            return -1;
        }
        // An interim response ends with its head, whatever its fields say.
        if (self.isInterim())
            return kSkipBody;
        // No request asks for another protocol.
        if (parser->status_code == kSwitchingProtocols) {
            self.fail("switch of protocols that was not requested");
            return -1;
        }
        const bool hasNoBody = self.noBody || isBodylessStatus(static_cast<int>(parser->status_code));
        if (!hasNoBody && !self.hasValidFraming()) {
            self.fail("malformed Content-Length or Transfer-Encoding");
            return -1;
        }
        HttpResponseHead head { static_cast<int>(parser->status_code), std::exchange(self.fields, {}), http_should_keep_alive(parser) != 0,
            !hasNoBody && !(parser->flags & F_CHUNKED) && parser->content_length == ULLONG_MAX };
        self.handlers.responseHead(std::move(head));
        return hasNoBody ? kSkipBody : 0;
    }

    static int onBody(http_parser* parser, const char* at, std::size_t length)
    {
        auto& self = of(parser);
        self.bodyBytes += length;
        if (self.bodyBytes > self.limits.maxBodyBytes)
            return self.fail("the body is too large", true);
        self.handlers.body({ at, length });
        return 0;
    }

    /// Stops the parser behind the line end of a chunk's size or data, so that it can be checked.
    int stopAtChunkLineEnd()
    {
        isAtChunkLineEnd = true;
        http_parser_pause(&parser, 1);
        return 0;
    }

    static int onChunkSize(http_parser* parser) { return of(parser).stopAtChunkLineEnd(); }

    static int onChunkEnd(http_parser* parser)
    {
        // The last chunk ends with the message.
        return (parser->flags & F_TRAILING) ? 0 : of(parser).stopAtChunkLineEnd();
    }

    static int onComplete(http_parser* parser)
    {
        auto& self = of(parser);
        self.isInside = false;
        if (self.isInterim())
            return 0;
        self.isComplete = true;
        http_parser_pause(parser, 1);
        return 0;
    }

    static const http_parser_settings& settings()
    {
        static const http_parser_settings instance = [] {
            http_parser_settings created {};
            created.on_message_begin = onBegin;
            created.on_url = onTarget;
            created.on_status = onReason;
            created.on_header_field = onName;
            created.on_header_value = onValue;
            created.on_headers_complete = onHead;
            created.on_body = onBody;
            created.on_chunk_header = onChunkSize;
            created.on_chunk_complete = onChunkEnd;
            created.on_message_complete = onComplete;
            return created;
        }();
        return instance;
    }

    HttpParseError parseError() const
    {
        return fault ? *fault : HttpParseError { http_errno_description(HTTP_PARSER_ERRNO(&parser)) };
    }
};

HttpParser::HttpParser(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
    http_parser_init(&m_state->parser, m_state->type);
    m_state->parser.data = m_state.get();
}

HttpParser::~HttpParser() = default;

std::unique_ptr<HttpParser> HttpParser::forRequests(HttpParserLimits limits, Handlers handlers)
{
    auto state = std::make_unique<State>();
    state->type = HTTP_REQUEST;
    state->limits = limits;
    state->handlers = std::move(handlers);
    return std::unique_ptr<HttpParser>(new HttpParser(std::move(state)));
}

std::unique_ptr<HttpParser> HttpParser::forResponses(HttpParserLimits limits, Handlers handlers)
{
    auto state = std::make_unique<State>();
    state->type = HTTP_RESPONSE;
    state->lineCheck = internal::HeadLineCheck(true);
    state->limits = limits;
    state->handlers = std::move(handlers);
    return std::unique_ptr<HttpParser>(new HttpParser(std::move(state)));
}

Result<std::size_t, HttpParseError> HttpParser::feed(std::string_view octets)
{
    auto& state = *m_state;
    std::size_t taken = 0;
    do {
        auto slice = octets.substr(taken);
        // A slice that ends where the limit is reached counts the head exactly, although the parser reports no positions. The
        // line check takes one line at a time.
        if (state.isReadingHead)
            slice = firstLine(slice.substr(0, state.limits.maxHeadBytes - state.headBytes));
        if (slice.empty() && !octets.empty())
            return failure(HttpParseError { "the head is too large", true });
        if (const auto fault = state.isReadingHead ? state.lineCheck.findFault(slice) : std::string_view(); !fault.empty())
            return failure(HttpParseError { std::string(fault) });
        const std::size_t count = http_parser_execute(&state.parser, &State::settings(), slice.data(), slice.size());
        taken += count;
        state.keepLastOctets(slice.substr(0, count));
        if (!state.acceptsChunkLineEnd())
            return failure(HttpParseError { "malformed line end in a chunked body" });
        if (state.isComplete) {
            state.isComplete = false;
            state.isReadingHead = true;
            state.headBytes = 0;
            http_parser_pause(&state.parser, 0);
            state.handlers.complete();
            return taken;
        }
        if (state.fault || HTTP_PARSER_ERRNO(&state.parser) != HPE_OK)
            return failure(state.parseError());
        state.headBytes += state.isReadingHead ? count : 0;
    } while (taken < octets.size());
    return taken;
}

Result<void, HttpParseError> HttpParser::finish()
{
    auto& state = *m_state;
    http_parser_execute(&state.parser, &State::settings(), nullptr, 0);
    if (state.isComplete) {
        state.isComplete = false;
        state.handlers.complete();
        return {};
    }
    if (HTTP_PARSER_ERRNO(&state.parser) != HPE_OK)
        return failure(state.parseError());
    return {};
}

std::size_t HttpParser::heldBytes() const
{
    return m_state->target.capacity() + m_state->fields.heldBytes();
}

bool HttpParser::isInsideMessage() const
{
    return m_state->isInside;
}

void HttpParser::expectNoBody(bool noBody)
{
    m_state->noBody = noBody;
}

} // namespace hornbeamgate::gateway
