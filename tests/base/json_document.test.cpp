#include "hornbeamgate/base/json_document.hpp"

#include "base/amplifying_texts.hpp"
#include "base/memory_limit.hpp"

#include <nlohmann/json.hpp>

using namespace hornbeamgate;
using namespace hornbeamgate::testing;

namespace {

constexpr std::size_t kMegabyte = std::size_t { 1024 } * 1024;

} // namespace

// Guards against texts of a few megabytes that exhaust the memory of the process as documents.
TEST_CASE("texts that would take many times their size as documents are rejected before they take it [base]")
{
    for (const auto& text : amplifyingTexts(2 * kMegabyte)) {
        CAPTURE(text.substr(0, 16));
        CHECK(succeedsWithin(32 * kMegabyte, [&] { return !parseJson(text); }));
    }
}

TEST_CASE("the depth of a document is bounded [base]")
{
    constexpr std::size_t kMaxDepth = 64;
    CHECK(parseJson(std::string(kMaxDepth, '[') + std::string(kMaxDepth, ']')));
    const auto deeper = parseJson(std::string(kMaxDepth + 1, '[') + std::string(kMaxDepth + 1, ']'));
    REQUIRE_FALSE(deeper);
    CHECK(deeper.error().detail == "nested deeper than 64 levels");
}

TEST_CASE("large documents of texts, numbers and members are decoded [base]")
{
    nlohmann::json value { { "text", std::string(4 * kMegabyte, 'x') } };
    for (int i = 0; i < 20'000; ++i) {
        value["numbers"].push_back(1'000'000 + i);
        value["members"]["member-" + std::to_string(i)] = { { "name", "m" }, { "adapters", nlohmann::json::array() } };
    }
    const auto parsed = parseJson(value.dump());
    REQUIRE(parsed);
    CHECK((*parsed == value));
}

TEST_CASE("an invalid text is reported with a part of it [base]")
{
    const auto parsed = parseJson("{\"a\": \"" + std::string(kMegabyte, 'x'));
    REQUIRE_FALSE(parsed);
    CHECK(parsed.error().detail.find("line 1") != std::string::npos);
    CHECK(parsed.error().detail.size() < 1024);
    CHECK_FALSE(parseJson("[1e999]"));
    CHECK_FALSE(parseJson("1 2"));
    CHECK_FALSE(parseJson(""));
}

TEST_CASE("comments are accepted where they are allowed [base]")
{
    CHECK_FALSE(parseJson("[1] // one"));
    CHECK((parseJson("[1] // one", JsonComments::Ignored).value() == nlohmann::json::array({ 1 })));
}
