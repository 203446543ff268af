#include "hornbeamgate/base/digest.hpp"

#include <doctest/doctest.h>

#include <array>

using namespace hornbeamgate;

namespace {

std::string digestOf(std::initializer_list<std::string_view> parts)
{
    std::array<std::uint8_t, 16> digest {};
    hashParts(parts, digest);
    return toHex(digest);
}

} // namespace

// The hashes stand in logs, so they must be the same in every version.
TEST_CASE("the hash of parts is BLAKE2b over the parts, each after its length [digest]")
{
    CHECK(digestOf({ "postojna", "hauls", "p4-x" }) == "4116621c9fa3590c48e136da6e2b8cc7");
    CHECK(digestOf({}) == "cae66941d9efbd404e4d88758ea67670");
}

TEST_CASE("lists of parts with equal concatenations have different hashes [digest]")
{
    CHECK(digestOf({ "ab", "c" }) != digestOf({ "a", "bc" }));
    CHECK(digestOf({ "abc" }) != digestOf({ "abc", "" }));
}
