#include "config_simulation.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace hornbeamgate;
using namespace hornbeamgate::test;

namespace {

/// Runs random simulation steps and returns the first invariant violation.
std::optional<std::string> runSeed(std::uint64_t seed, Mutation mutation, int steps)
{
    ConfigSimulation simulation(seed, mutation);
    std::mt19937_64 choices(seed);
    for (int count = 0; count < steps; ++count) {
        if (auto fault = simulation.step(static_cast<std::uint32_t>(choices())))
            return fault;
    }
    return simulation.converge();
}

} // namespace

TEST_CASE("all replicas and publishers agree with the log order [config]")
{
    CHECK(rc::check([](std::uint64_t seed) {
        const auto choices = *rc::gen::container<std::vector<std::uint32_t>>(600, rc::gen::arbitrary<std::uint32_t>());
        ConfigSimulation simulation(seed);
        for (const auto choice : choices) {
            const auto fault = simulation.step(choice);
            if (fault)
                RC_FAIL(*fault);
        }
        if (const auto fault = simulation.converge())
            RC_FAIL(*fault);
        RC_CLASSIFY(simulation.acceptedChanges() >= 3, "three or more accepted changes");
    }));
}

TEST_CASE("replicas and publishers agree with the log order in long runs [config]")
{
    std::size_t runs = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed, ++runs) {
        const auto fault = runSeed(seed, Mutation::None, 2000);
        CAPTURE(seed);
        CHECK_MESSAGE(!fault, fault.value_or(""));
    }
    CHECK(runs == 60);
}

TEST_CASE("the oracle detects each mutation [config]")
{
    struct Case {
        Mutation mutation;
        std::string_view expected;
    };
    const Case cases[] = {
        { Mutation::CheckpointUsesOwnOffset, "" },
        { Mutation::UnknownAppendTreatedAsRefused, "reported as not published but is in the log" },
        { Mutation::RetryUsesNewId, "reported as a conflict" },
        { Mutation::ReadTimestampedAtCompletion, "confirmed after a newer one" },
        { Mutation::PeerAgeIgnored, "confirmed after a newer one" },
        { Mutation::TrimIgnored, "" },
    };
    for (const auto& entry : cases) {
        std::optional<std::string> fault;
        for (std::uint64_t seed = 1; seed <= 200 && !fault; ++seed)
            fault = runSeed(seed, entry.mutation, 1000);
        CAPTURE(static_cast<int>(entry.mutation));
        REQUIRE(fault);
        CAPTURE(*fault);
        CHECK(fault->find(entry.expected) != std::string::npos);
    }
}
