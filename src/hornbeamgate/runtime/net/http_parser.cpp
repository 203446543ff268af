#include "hornbeamgate/runtime/net/http_parser.hpp"

#include <http_parser.h>

#include <algorithm>

namespace hornbeamgate::gateway {

namespace {

    /// Characters besides letters and digits that RFC 9110 allows in a field name.
    constexpr std::string_view kTokenMarks = "!#$%&'*+-.^_`|~";

    bool isToken(std::string_view name)
    {
        return !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
            return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || kTokenMarks.find(c) != std::string_view::npos;
        });
    }

    bool hasControlCharacter(std::string_view value)
    {
        return std::any_of(value.begin(), value.end(), [](char c) { return (static_cast<unsigned char>(c) < ' ' && c != '\t') || c == '\x7f'; });
    }

    constexpr int kStatusClass = 100;
    constexpr int kSwitchingProtocols = 101;

} // namespace

struct HttpParser::State {
    http_parser parser {};
    http_parser_type type = HTTP_REQUEST;
    HttpParserLimits limits;
    Handlers handlers;
    std::string target;
    HttpFields fields;
    bool lastWasValue = false;
    bool isInside = false;
    bool isComplete = false;
    bool noBody = false;
    std::size_t headBytes = 0;
    std::size_t bodyBytes = 0;
    std::optional<HttpParseError> fault;

    static State& of(http_parser* parser) { return *static_cast<State*>(parser->data); }

    int fail(std::string detail, bool isTooLarge = false)
    {
        fault = HttpParseError { std::move(detail), isTooLarge };
        return 1;
    }

    int addHeadBytes(std::size_t count)
    {
        headBytes += count;
        return headBytes > limits.maxHeadBytes ? fail("the head is too large", true) : 0;
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
        self.lastWasValue = false;
        self.headBytes = 0;
        self.bodyBytes = 0;
        self.isInside = true;
        return 0;
    }

    static int onTarget(http_parser* parser, const char* at, std::size_t length)
    {
        of(parser).target.append(at, length);
        return of(parser).addHeadBytes(length);
    }

    static int onName(http_parser* parser, const char* at, std::size_t length)
    {
        auto& self = of(parser);
        if (self.lastWasValue || self.fields.all().empty())
            self.fields.add({}, {});
        self.lastWasValue = false;
        self.fields.all().back().name.append(at, length);
        return self.addHeadBytes(length);
    }

    static int onValue(http_parser* parser, const char* at, std::size_t length)
    {
        auto& self = of(parser);
        self.lastWasValue = true;
        if (!self.fields.all().empty())
            self.fields.all().back().value.append(at, length);
        return self.addHeadBytes(length);
    }

    int checkFields()
    {
        for (const auto& field : fields.all()) {
            if (!isToken(field.name))
                return fail("malformed field name");
            if (hasControlCharacter(field.value))
                return fail("control character in a field value");
        }
        return 0;
    }

    static int onHead(http_parser* parser)
    {
        constexpr int kSkipBody = 1;
        auto& self = of(parser);
        if (self.checkFields() != 0)
            return -1;
        if (self.type == HTTP_REQUEST) {
            HttpRequestHead head { http_method_str(static_cast<http_method>(parser->method)), self.target, std::move(self.fields),
                http_should_keep_alive(parser) != 0 };
            self.handlers.requestHead(std::move(head));
            return 0;
        }
        if (self.isInterim())
            return 0;
        const bool hasNoBody = self.noBody;
        HttpResponseHead head { static_cast<int>(parser->status_code), std::move(self.fields), http_should_keep_alive(parser) != 0,
            !hasNoBody && endsWithConnection(*parser) };
        self.handlers.responseHead(std::move(head));
        return hasNoBody ? kSkipBody : 0;
    }

    /// Whether the body is delimited by the end of the connection.
    static bool endsWithConnection(const http_parser& parser)
    {
        // What follows a change of the protocol is no response, and ends with the connection.
        const bool isBodyless = parser.status_code != kSwitchingProtocols && isBodylessStatus(static_cast<int>(parser.status_code));
        if (isBodyless || (parser.flags & F_SKIPBODY))
            return false;
        return !(parser.flags & F_CHUNKED) && parser.content_length == ULLONG_MAX;
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
            created.on_header_field = onName;
            created.on_header_value = onValue;
            created.on_headers_complete = onHead;
            created.on_body = onBody;
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
    state->limits = limits;
    state->handlers = std::move(handlers);
    return std::unique_ptr<HttpParser>(new HttpParser(std::move(state)));
}

Result<std::size_t, HttpParseError> HttpParser::feed(std::string_view octets)
{
    auto& state = *m_state;
    const std::size_t taken = http_parser_execute(&state.parser, &State::settings(), octets.data(), octets.size());
    if (state.isComplete) {
        state.isComplete = false;
        http_parser_pause(&state.parser, 0);
        state.handlers.complete();
        return taken;
    }
    if (state.fault || HTTP_PARSER_ERRNO(&state.parser) != HPE_OK)
        return failure(state.parseError());
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

bool HttpParser::isInsideMessage() const
{
    return m_state->isInside;
}

void HttpParser::expectNoBody(bool noBody)
{
    m_state->noBody = noBody;
}

} // namespace hornbeamgate::gateway
