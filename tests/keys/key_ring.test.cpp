#include "hornbeamgate/keys/key_ring.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;

namespace {

KeyHasher hasher(std::uint8_t pepper) { return KeyHasher::create(Bytes(kMinPepperBytes, pepper)).value(); }

RuleSet rulesWithKeys()
{
    RuleSet rules;
    rules.keys.push_back({ KeyId("a-1"), WorkspaceId("a"), hasher(1).hash("hbg_first").toHex() });
    rules.keys.push_back({ KeyId("b-1"), WorkspaceId("b"), hasher(1).hash("hbg_second").toHex() });
    rules.openRoutes.push_back({ "/services", WorkspaceId("shared") });
    rules.openRoutes.push_back({ "/services/status", WorkspaceId("public") });
    return rules;
}

} // namespace

TEST_CASE("a secret is accepted only for the workspace of its key [keys]")
{
    const auto ring = KeyRing::create(rulesWithKeys(), hasher(1)).value();
    CHECK(ring.find("hbg_first") == KeyOwner { KeyId("a-1"), WorkspaceId("a") });
    CHECK(ring.find("hbg_second") == KeyOwner { KeyId("b-1"), WorkspaceId("b") });
    for (const auto& wrong : { std::string(), std::string("hbg_firs"), std::string("hbg_first "), std::string("hbg_first\0", 10),
             rulesWithKeys().keys[0].hash, std::string(kMaxKeySecretBytes + 1, 'x') })
        CHECK_FALSE(ring.find(wrong));
}

TEST_CASE("a secret hashed with a different pepper is not found [keys]")
{
    const auto ring = KeyRing::create(rulesWithKeys(), hasher(2)).value();
    CHECK_FALSE(ring.find("hbg_first"));
}

TEST_CASE("open routes match whole path segments and the longest prefix wins [keys]")
{
    const auto ring = KeyRing::create(rulesWithKeys(), hasher(1)).value();
    CHECK(ring.findOpenRouteWorkspace("/services/status") == WorkspaceId("public"));
    CHECK(ring.findOpenRouteWorkspace("/services/status/now") == WorkspaceId("public"));
    CHECK(ring.findOpenRouteWorkspace("/services/statuses") == WorkspaceId("shared"));
    CHECK_FALSE(ring.findOpenRouteWorkspace("/servicesx"));
    CHECK_FALSE(ring.findOpenRouteWorkspace("/"));
}

TEST_CASE("removed, replaced and moved keys count as withdrawn [keys]")
{
    const auto before = rulesWithKeys();
    CHECK(findWithdrawnKeys(before, before).empty());
    auto after = before;
    after.keys.erase(after.keys.begin());
    CHECK(findWithdrawnKeys(before, after) == std::vector { KeyId("a-1") });
    after = before;
    after.keys[0].workspace = WorkspaceId("b");
    after.keys[1].hash = before.keys[0].hash;
    CHECK(findWithdrawnKeys(before, after) == std::vector { KeyId("a-1"), KeyId("b-1") });
}

TEST_CASE("a hash is unchanged by its hexadecimal encoding and malformed hashes and peppers are rejected [keys]")
{
    const auto hash = hasher(1).hash("hbg_first");
    CHECK(KeyHash::fromHex(hash.toHex()).value() == hash);
    for (const auto& wrong : { std::string(), std::string(63, 'a'), std::string(66, 'a'), std::string(64, 'g') })
        CHECK_FALSE(KeyHash::fromHex(wrong));
    CHECK_FALSE(KeyHasher::create(Bytes(kMinPepperBytes - 1)));
    CHECK_FALSE(KeyHasher::create(Bytes(kMaxPepperBytes + 1)));
}

TEST_CASE("a generated secret is header-safe and encodes all random bytes [keys]")
{
    std::array<std::uint8_t, kKeySecretRandomBytes> octets {};
    octets.fill(0xff);
    const auto secret = makeKeySecret(octets);
    CHECK(secret == "hbg_" + std::string(42, '_') + "8");
    octets[31] = 0;
    CHECK(makeKeySecret(octets) != secret);
}
