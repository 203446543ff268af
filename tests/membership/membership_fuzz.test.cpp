#include "membership/membership_network.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace hornbeamgate;
using namespace hornbeamgate::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kNodes = 9;
constexpr int kSteps = 60;
constexpr Duration kConvergenceTime = 60s;

void applyStep(MembershipNetwork& network, std::uint32_t choice)
{
    const auto node = choice / 16 % kNodes;
    const auto argument = choice / 256;
    switch (choice % 16) {
    case 0:
        return network.crash(node);
    case 1:
    case 2:
        if (network.isRunning(node))
            return;
        network.start(node);
        return network.readHostList(node, argument % 60);
    case 3:
        return network.pause(node);
    case 4:
    case 5:
        return network.resume(node);
    case 6:
        return network.partition(static_cast<int>(argument % 2), static_cast<int>(argument / 2 % 2));
    case 7:
        return network.healPartitions();
    case 8:
        return network.setLoss(argument % 40);
    case 9:
        return network.readHostList(node, argument % 100);
    case 10:
        if (network.isRunning(node) && !network.paused(node) && argument % 4 == 0)
            network.leave(node);
        return;
    default:
        return network.run(std::chrono::milliseconds(argument % 4'000));
    }
}

std::optional<std::string> inconsistencyAfter(MembershipFault fault, const std::vector<std::uint32_t>& choices)
{
    MembershipNetwork network(1, fault);
    for (std::size_t node = 0; node < kNodes; ++node) {
        network.add("dc" + std::to_string(node % 3), node % 3 == 2 ? 1 : 0);
        network.start(node);
    }
    for (std::size_t node = 0; node < kNodes; ++node)
        network.readHostList(node);
    network.run(15s);
    for (const auto choice : choices)
        applyStep(network, choice);
    network.healPartitions();
    network.setLoss(0);
    for (std::size_t node = 0; node < kNodes; ++node) {
        network.resume(node);
        network.readHostList(node);
    }
    network.run(kConvergenceTime);
    return network.inconsistency();
}

std::vector<std::uint32_t> choicesOfSeed(std::uint32_t seed)
{
    std::mt19937 generator(seed);
    std::vector<std::uint32_t> choices(kSteps);
    for (auto& choice : choices)
        choice = static_cast<std::uint32_t>(generator()) % 1'000'000'000;
    return choices;
}

} // namespace

TEST_CASE("all members converge to the actual state after random faults [membership]")
{
    CHECK(rc::check("membership", [] {
        const auto choice = rc::gen::resize(100, rc::gen::inRange<std::uint32_t>(0, 1'000'000'000));
        const auto choices = *rc::gen::container<std::vector<std::uint32_t>>(kSteps, choice);
        const auto inconsistency = inconsistencyAfter(MembershipFault::None, choices);
        if (inconsistency)
            RC_FAIL(*inconsistency);
    }));
}

TEST_CASE("the consistency check detects each injected protocol fault [membership]")
{
    struct Case {
        std::string name;
        MembershipFault fault;
    };
    const Case cases[] = {
        { "refutation lost", MembershipFault::RefutationLost },
        { "updates not forwarded", MembershipFault::UpdatesNotForwarded },
        { "failures hidden", MembershipFault::FailuresHidden },
        { "incarnation reused", MembershipFault::IncarnationReused },
        { "leave not announced", MembershipFault::LeaveNotAnnounced },
    };
    constexpr std::uint32_t kRuns = 5;
    for (const auto& variant : cases) {
        CAPTURE(variant.name);
        int detected = 0;
        for (std::uint32_t seed = 0; seed < kRuns; ++seed)
            detected += inconsistencyAfter(variant.fault, choicesOfSeed(seed)) ? 1 : 0;
        MESSAGE(variant.name, " detected in ", detected, " of ", kRuns, " runs");
        CHECK(detected > 0);
    }
}
