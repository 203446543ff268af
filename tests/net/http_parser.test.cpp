#include "hornbeamgate/runtime/net/http_parser.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate::gateway;

namespace {

struct Parsed {
    std::vector<HttpRequestHead> requests;
    std::vector<HttpResponseHead> responses;
    std::string body;
    int complete = 0;
};

HttpParser::Handlers collectInto(Parsed& parsed)
{
    return { [&](HttpRequestHead head) { parsed.requests.push_back(std::move(head)); }, [&](HttpResponseHead head) { parsed.responses.push_back(std::move(head)); },
        [&](std::string_view octets) { parsed.body += octets; }, [&] { ++parsed.complete; } };
}

/// Whether the parser accepts `text` as a sequence of complete messages.
bool parsesCompletely(const std::string& text)
{
    Parsed parsed;
    const auto parser = HttpParser::forRequests({ 1000, 1000 }, collectInto(parsed));
    std::string_view rest = text;
    while (!rest.empty()) {
        const auto taken = parser->feed(rest);
        if (!taken)
            return false;
        rest.remove_prefix(*taken);
    }
    return parsed.complete > 0 && !parser->isInsideMessage();
}

} // namespace

TEST_CASE("the parser stops after each message, however the input is split [http]")
{
    const std::string text = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\nHost: h\r\n\r\n"
                             "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n";
    for (std::size_t step = 1; step <= text.size(); ++step) {
        Parsed parsed;
        const auto parser = HttpParser::forRequests({}, collectInto(parsed));
        std::string pending;
        for (std::size_t start = 0; start < text.size(); start += step) {
            pending += text.substr(start, step);
            while (!pending.empty()) {
                const int before = parsed.complete;
                const auto taken = parser->feed(pending);
                REQUIRE(taken);
                REQUIRE(parsed.complete <= before + 1);
                pending.erase(0, *taken);
            }
        }
        REQUIRE(parsed.complete == 3);
        CHECK(parsed.requests[0].target == "/a");
        CHECK(parsed.requests[2].method == "POST");
        CHECK(parsed.body == "abcde");
    }
}

TEST_CASE("malformed requests that allow request smuggling are rejected [http]")
{
    CHECK(parsesCompletely("GET / HTTP/1.1\r\nHost: h\r\n\r\n"));
    CHECK_FALSE(parsesCompletely("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
    CHECK_FALSE(parsesCompletely("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"));
    CHECK_FALSE(parsesCompletely("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"));
    CHECK_FALSE(parsesCompletely("POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc"));
    CHECK_FALSE(parsesCompletely("GET / HTTP/1.1\r\nHo st: h\r\n\r\n"));
    CHECK_FALSE(parsesCompletely(std::string("GET / HTTP/1.1\r\nHost: h\x01\r\n\r\n")));
    CHECK_FALSE(parsesCompletely("POST / HTTP/1.1\r\nHost: h\r\n\rContent-Length: 3\r\n\r\nGET / HTTP/1.1\r\n\r\n"));
    CHECK_FALSE(parsesCompletely("not HTTP at all\r\n\r\n"));
}

TEST_CASE("a head or a body over its size limit is reported as too large [http]")
{
    Parsed parsed;
    const auto longHead = HttpParser::forRequests({ 100, 10 }, collectInto(parsed));
    const auto head = longHead->feed("GET / HTTP/1.1\r\nX: " + std::string(200, 'a') + "\r\n\r\n");
    REQUIRE_FALSE(head);
    CHECK(head.error().isTooLarge);
    CHECK(parsed.requests.empty());
    const auto longBody = HttpParser::forRequests({ 100, 10 }, collectInto(parsed));
    const auto body = longBody->feed("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n01234567890");
    REQUIRE_FALSE(body);
    CHECK(body.error().isTooLarge);
    CHECK(parsed.requests.size() == 1);
}

TEST_CASE("an interim response is skipped and a response without a length ends with its connection [http]")
{
    Parsed parsed;
    const auto parser = HttpParser::forResponses({}, collectInto(parsed));
    REQUIRE(parser->feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nbody"));
    REQUIRE(parsed.responses.size() == 1);
    CHECK(parsed.responses.front().endsWithConnection);
    CHECK(parsed.complete == 0);
    REQUIRE(parser->finish());
    CHECK(parsed.complete == 1);
    CHECK(parsed.body == "body");
}

TEST_CASE("a response shorter than its Content-Length is incomplete [http]")
{
    Parsed parsed;
    const auto parser = HttpParser::forResponses({}, collectInto(parsed));
    REQUIRE(parser->feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nbody"));
    CHECK_FALSE(parser->finish());
    CHECK(parsed.complete == 0);
}

TEST_CASE("hop-by-hop fields and those listed in the Connection field are removed [http]")
{
    HttpFields fields;
    for (const auto& [name, value] : { std::pair("Connection", "close, X-Hop"), std::pair("x-hop", "1"), std::pair("Keep-Alive", "timeout=5"),
             std::pair("transfer-encoding", "chunked"), std::pair("X-Kept", "2") })
        fields.add(name, value);
    removeHopByHopFields(fields);
    REQUIRE(fields.all().size() == 1);
    CHECK(fields.find("x-kept") == "2");
}

// Guards against heads that cost far more than their limit because only names and values count.
TEST_CASE("the limit of a head counts separators and line ends, however the input is split [http]")
{
    constexpr std::size_t kLimit = 100;
    const std::string start = "GET / HTTP/1.1\r\n";
    for (const std::size_t size : { kLimit, kLimit + 1 }) {
        std::string text = start;
        while (text.size() + 4 <= size - 4)
            text += "a:\r\n";
        text.insert(text.size() - 2, std::string(size - 2 - text.size(), 'x'));
        text += "\r\n";
        REQUIRE(text.size() == size);
        for (std::size_t step = 1; step <= text.size(); ++step) {
            Parsed parsed;
            const auto parser = HttpParser::forRequests({ kLimit, 10 }, collectInto(parsed));
            bool isTooLarge = false;
            for (std::size_t at = 0; at < text.size() && !isTooLarge; at += step) {
                const auto taken = parser->feed(text.substr(at, step));
                isTooLarge = !taken && taken.error().isTooLarge;
            }
            CHECK(isTooLarge == (size > kLimit));
            CHECK(parsed.complete == (size > kLimit ? 0 : 1));
        }
    }
}

// Guards against trailers that are kept, or counted as fields of the next request.
TEST_CASE("chunk extensions and trailers are discarded as they arrive [http]")
{
    Parsed parsed;
    const auto parser = HttpParser::forRequests({ 1000, 10 }, collectInto(parsed));
    REQUIRE(parser->feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;a=b\r\nx\r\n0\r\n"));
    for (int i = 0; i < 100; ++i)
        REQUIRE(parser->feed("a:b\r\n"));
    CHECK(parser->heldBytes() < 100);
    REQUIRE(parser->feed("\r\n"));
    CHECK(parsed.body == "x");
    CHECK(parsed.complete == 1);
    REQUIRE(parser->feed("GET / HTTP/1.1\r\nX: 1\r\n\r\n"));
    REQUIRE(parsed.requests.size() == 2);
    CHECK(parsed.requests.back().fields.all().size() == 1);
}
