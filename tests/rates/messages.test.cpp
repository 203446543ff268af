#include "hornbeamgate/rates/claim_record.hpp"
#include "hornbeamgate/rates/loan_messages.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <random>

using namespace hornbeamgate;
using namespace std::chrono_literals;

namespace {

const LoanClosure kClosure { { Incarnation(7), 8 }, WorkspaceId("w"), 3, { 1, 2000 }, 70 };
const LoanMessage kMessages[] = {
    LoanRequest { HostId("h"), 9, WorkspaceId("w"), 1, LoanPurpose::Transfer, { 1, 2 }, { 3, 4 }, { kClosure } },
    LoanReply { 9, LoanStatus::Granted, { Incarnation(7), 10 }, { 5, 6 }, 5s, 12ms },
    LoanClosures { HostId("h"), { kClosure, kClosure } },
    ShardHomesRequest { HostId("h") },
    ShardHomesReply { { { { RegionId("west"), 3 }, HostId("h") }, { { RegionId("east"), 0 }, HostId("i") } } },
};
const ClaimRecord kRecord { { HostId("h"), "10.0.0.1:7000", Incarnation(7) }, 3, RegionId("west"), ClaimKind::Release,
    LogOffset(12), 600s, { 1, 5, 63 }, { { WorkspaceId("w"), 1, { 4, 5 }, { 6, 7 } } } };

/// Calls `check` with variants of `valid`: each field replaced by values of other types and sizes, each field removed,
/// and one field appended.
template <typename Check>
void alterFields(const nlohmann::json& valid, const Check& check)
{
    const nlohmann::json wrong[] = { nullptr, -1, 1.5, "", std::string(256, 'x'), nlohmann::json::array({ 1 }),
        nlohmann::json::object(), true };
    for (std::size_t field = 0; field < valid.size(); ++field) {
        for (const auto& value : wrong) {
            auto altered = valid;
            altered[field] = value;
            if (altered != valid)
                check(altered);
        }
        auto shorter = valid;
        shorter.erase(field);
        check(shorter);
    }
    auto longer = valid;
    longer.push_back(0);
    check(longer);
}

} // namespace

TEST_CASE("messages and records are unchanged after encoding and decoding [rates]")
{
    for (const auto& message : kMessages)
        CHECK(decodeLoanMessage(encodeLoanMessage(message)) == message);
    CHECK(decodeClaimRecord(encodeClaimRecord(kRecord)) == kRecord);
}

TEST_CASE("altered messages and records are rejected or decode to a different value [rates]")
{
    for (const auto& message : kMessages) {
        const auto valid = encodeLoanMessage(message);
        alterFields(*fromCbor(valid), [&](const nlohmann::json& altered) {
            const auto decoded = decodeLoanMessage(toCbor(altered));
            CHECK((!decoded || *decoded != message));
        });
    }
    alterFields(*fromCbor(encodeClaimRecord(kRecord)), [](const nlohmann::json& altered) {
        const auto decoded = decodeClaimRecord(toCbor(altered));
        CHECK((!decoded || *decoded != kRecord));
    });
}

TEST_CASE("random bytes in a message never crash the decoder [rates]")
{
    std::mt19937_64 random(20261204);
    const auto valid = encodeLoanMessage(kMessages[0]);
    for (int i = 0; i < 20'000; ++i) {
        auto bytes = valid;
        for (int flips = 0; flips < 3; ++flips)
            bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
        const auto decoded = decodeLoanMessage(bytes);
        if (decoded && std::holds_alternative<LoanRequest>(*decoded))
            CHECK(std::get<LoanRequest>(*decoded).minimum.isNonNegative());
    }
}
