#include "hornbeamgate/config/rules_parser.hpp"
#include "hornbeamgate/config/rules_writer.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace hornbeamgate;

namespace {

const std::string kHash(64, 'a');
const std::string kWorkspace = "workspace postojna weight=2 priority=1 requests=20/s burst=40 tokens=30000/s token-burst=60000  # asked by Ana\n";
const std::string kComplete = "# rules of the example\n\n" + kWorkspace
    + "key postojna-1 workspace=postojna hash=" + kHash + "  # Ana\n"
    + "model rota-7b weights=3 # Ana\n"
      "engine eng-1 host=h7 models=rota-7b fencing=checked # Ana\r\n"
      "service rota idempotent=no # Ana\n"
      "endpoint app-1 service=rota host=h9 # Ana\n"
      "open /services/status workspace=postojna # Ana # and Bor";

} // namespace

TEST_CASE("all kinds of rules are parsed [config]")
{
    const auto rules = parseRules(kComplete);
    REQUIRE(rules);
    CHECK(rules->workspaces == std::vector { WorkspaceRule { WorkspaceId("postojna"), 2, 1, { 20, 40 }, { 30000, 60000 } } });
    CHECK(rules->keys == std::vector { KeyRule { KeyId("postojna-1"), WorkspaceId("postojna"), kHash } });
    CHECK(rules->models == std::vector { ModelRule { ModelId("rota-7b"), WeightsVersion(3) } });
    CHECK(rules->engines == std::vector { EngineRule { EndpointId("eng-1"), HostId("h7"), { ModelId("rota-7b") }, true } });
    CHECK(rules->services == std::vector { ServiceRule { ServiceId("rota"), false } });
    CHECK(rules->serviceEndpoints == std::vector { ServiceEndpointRule { EndpointId("app-1"), ServiceId("rota"), HostId("h9") } });
    CHECK(rules->openRoutes == std::vector { OpenRouteRule { "/services/status", WorkspaceId("postojna") } });
}

TEST_CASE("canonical lines keep their comments and parse to the same rules [config]")
{
    const auto parsed = parseRulesWithLines(kComplete);
    REQUIRE(parsed);
    std::string text;
    for (const auto& line : parsed->lines)
        text += line + "\n";
    CHECK(parsed->lines.back() == "open /services/status workspace=postojna  # Ana # and Bor");
    const auto again = parseRulesWithLines(text);
    REQUIRE(again);
    CHECK(again->rules == parsed->rules);
    CHECK(again->lines == parsed->lines);
    CHECK(parseRules(writeRules(parsed->rules, "Ana")).value() == parsed->rules);
}

TEST_CASE("an invalid file is rejected with line, column and reason [config]")
{
    struct Case {
        std::string text;
        std::size_t line;
        std::size_t column;
        std::string_view reason;
    };
    const Case cases[] = {
        { "model a weights=1", 1, 18, "lacks a comment" },
        { "\nmodel a weights=1 #  ", 2, 19, "comment is empty" },
        { "model # Ana", 1, 6, "lacks a name" },
        { "model weights=1 # Ana", 1, 6, "lacks a name" },
        { "modle a weights=1 # Ana", 1, 1, "unknown kind of rule 'modle'" },
        { "model a weights # Ana", 1, 9, "name=value" },
        { "model a weights= # Ana", 1, 17, "no value" },
        { "model a weights=0 # Ana", 1, 17, "above 0" },
        { "model a weights=1 weights=1 # Ana", 1, 19, "given twice" },
        { "model a # Ana", 1, 7, "'weights' is missing" },
        { "model a weights=1 size=2 # Ana", 1, 19, "no field 'size'" },
        { "model a! weights=1 # Ana", 1, 7, "expected a name" },
        { "model a weights=1 # Ana\nmodel a weights=2 # Ana", 2, 7, "already defined in line 1" },
        { "model a weights=1 # \xff", 1, 21, "UTF-8" },
        { "model a weights=1 # \xed\xa0\x80", 1, 21, "UTF-8" },
        { "model a weights=1 # \xc0\xaf", 1, 21, "UTF-8" },
        { "model a weights=1 # \x1b[2J", 1, 21, "control character" },
        { "model a weights=1 # " + std::string(1100, 'x'), 1, 1025, "longer than 1024" },
        { "workspace w requests=0/s burst=1 tokens=1/s token-burst=1 # Ana", 1, 22, "above 0" },
        { "workspace w requests=5 burst=1 tokens=1/s token-burst=1 # Ana", 1, 22, "of the form 20/s" },
        { "workspace w requests=nan/s burst=1 tokens=1/s token-burst=1 # Ana", 1, 22, "above 0" },
        { "workspace w requests=1/s burst=1e99 tokens=1/s token-burst=1 # Ana", 1, 32, "above 0" },
        { "key k workspace=w hash=" + kHash + " # Ana", 1, 5, "no rule defines workspace w" },
        { "key k workspace=w hash=ABC # Ana", 1, 24, "hexadecimal" },
        { "engine e host=h models=m # Ana", 1, 8, "no rule defines model m" },
        { "engine e host=h models=m,m # Ana", 1, 24, "listed twice" },
        { "engine e host=h models=m, # Ana", 1, 24, "expected a name" },
        { "engine e host=h models=m fencing=maybe # Ana", 1, 34, "checked or unchecked" },
        { "endpoint e service=s host=h # Ana", 1, 10, "no rule defines service s" },
        { "open status workspace=w # Ana", 1, 6, "starts with '/'" },
        { kWorkspace + "key a workspace=postojna hash=" + kHash + " # Ana\nkey b workspace=postojna hash=" + kHash + " # Ana", 3, 5, "hash of a key is already" },
    };
    for (const auto& entry : cases) {
        CAPTURE(entry.text);
        const auto rules = parseRules(entry.text);
        REQUIRE_FALSE(rules);
        const auto& fault = rules.error().front();
        CAPTURE(fault.text);
        CHECK(fault.line == entry.line);
        CHECK(fault.column == entry.column);
        CHECK(fault.text.find(entry.reason) != std::string::npos);
    }
}

TEST_CASE("all faults of a file are reported up to a limit [config]")
{
    CHECK(parseRules("model a\nbad\n\nservice s idempotent=perhaps # Ana\n").error().size() == 3);
    std::string text;
    for (int line = 0; line < 500; ++line)
        text += "bad\n";
    CHECK(parseRules(text).error().size() == kMaxRuleFaults);
    CHECK_FALSE(parseRules(std::string(kMaxRulesBytes + 1, '\n')));
}

TEST_CASE("arbitrary input does not crash the parser, and accepted input round-trips [config]")
{
    CHECK(rc::check([](const std::vector<std::string>& noise) {
        auto text = kComplete;
        std::size_t at = 0;
        for (const auto& piece : noise) {
            at = (at * 31 + piece.size() * 7 + 13) % text.size();
            text.insert(at, piece);
        }
        const auto parsed = parseRulesWithLines(text);
        if (parsed)
            RC_ASSERT(parseRules(writeRules(parsed->rules, "Ana")).value() == parsed->rules);
        else
            RC_ASSERT(!parsed.error().empty());
    }));
}
