#include "hornbeamgate/base/cbor.hpp"

#include "base/memory_limit.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <string>

using namespace hornbeamgate;

TEST_CASE("octets that are no bounded CBOR item are refused without an exception [base]")
{
    struct Case {
        std::string name;
        Bytes bytes;
    };
    const Case cases[] = {
        { "nothing", {} },
        { "two items", { 0x01, 0x02 } },
        { "array longer than memory", { 0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff } },
        { "map longer than memory", { 0xbb, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff } },
        { "text longer than the message", { 0x7b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff } },
        { "deep nesting", Bytes(1'000'000, 0x81) },
        { "deep nesting of indefinite length", Bytes(1'000'000, 0x9f) },
    };
    for (const auto& row : cases) {
        CAPTURE(row.name);
        CHECK_FALSE(fromCbor(row.bytes).has_value());
    }
}

// Guards against messages that exhaust the memory of the process: an empty map takes 80 times its octet.
TEST_CASE("items that would take many times their size as documents are refused before they take it [base]")
{
    constexpr std::size_t kMegabyte = std::size_t { 1024 } * 1024;
    for (const std::uint8_t element : { std::uint8_t { 0xa0 }, std::uint8_t { 0x80 } }) {
        Bytes item { 0x9a, 0x00, 0x20, 0x00, 0x00 }; // array of 2,097,152 elements
        item.insert(item.end(), 2 * kMegabyte, element);
        CHECK(testing::succeedsWithin(32 * kMegabyte, [&] { return !fromCbor(item).has_value(); }));
    }
}

TEST_CASE("nested arrays and maps decode to what was encoded [base]")
{
    const nlohmann::json value { { "list", { 1, -2, 0.5, nullptr, true } }, { "octets", nlohmann::json::binary({ 1 }) } };
    CHECK(fromCbor(toCbor(value)).value() == value);
    CHECK(fromCbor(Bytes { 0x9f, 0x01, 0xff }).value() == nlohmann::json::array({ 1 }));
}
