#include "hornbeamgate/gateway/version_judge.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;

namespace {

const EndpointId kFirst("e1");
const EndpointId kSecond("e2");
const RouteSamples kSoundControl { { "/a", { 1000, 5 } } };

} // namespace

TEST_CASE("Guards against a verdict without evidence")
{
    CHECK(VersionJudge().judge({}, {}) == Verdict::Undecided);
    CHECK(VersionJudge().judge({ { kFirst, { { "/a", { 2, 0 } } } }, { kSecond, {} } }, kSoundControl) == Verdict::Undecided);
}

TEST_CASE("Guards against a bad version that stays undecided after a few bad responses of two engines")
{
    const EngineSamples candidate { { kFirst, { { "/a", { 8, 3 } } } }, { kSecond, { { "/a", { 8, 3 } } } } };
    CHECK(VersionJudge().judge(candidate, kSoundControl) == Verdict::Bad);
}

TEST_CASE("Guards against a good version that is never found good")
{
    const EngineSamples candidate { { kFirst, { { "/a", { 25, 0 } } } }, { kSecond, { { "/a", { 25, 1 } } } } };
    CHECK(VersionJudge().judge(candidate, kSoundControl) == Verdict::Good);
}

TEST_CASE("Guards against one failing engine that fails the whole version")
{
    const EngineSamples severalEngines { { kFirst, { { "/a", { 40, 40 } } } }, { kSecond, { { "/a", { 10, 0 } } } } };
    CHECK(VersionJudge().judge(severalEngines, kSoundControl) == Verdict::Undecided);
    const EngineSamples onlyEngine { { kFirst, { { "/a", { 40, 40 } } } } };
    CHECK(VersionJudge().judge(onlyEngine, kSoundControl) == Verdict::Bad);
    const EngineSamples othersUnused { { kFirst, { { "/a", { 40, 40 } } } }, { kSecond, {} } };
    CHECK(VersionJudge().judge(othersUnused, kSoundControl) == Verdict::Undecided);
}

TEST_CASE("Guards against faults of the whole service that count against the new version")
{
    const RouteSamples failingControl { { "/a", { 1000, 300 } } };
    const EngineSamples candidate { { kFirst, { { "/a", { 30, 9 } } } }, { kSecond, { { "/a", { 30, 9 } } } } };
    CHECK(VersionJudge().judge(candidate, failingControl) != Verdict::Bad);
    CHECK(VersionJudge().judge(candidate, kSoundControl) == Verdict::Bad);
}

TEST_CASE("Guards against a fault on one route that the other routes hide")
{
    const RouteSamples control { { "/a", { 1000, 5 } }, { "/b", { 200, 1 } } };
    const EngineSamples candidate {
        { kFirst, { { "/a", { 200, 0 } }, { "/b", { 8, 4 } } } },
        { kSecond, { { "/a", { 200, 0 } }, { "/b", { 8, 4 } } } },
    };
    const auto judgement = VersionJudge().judgeInDetail(candidate, control);
    CHECK(judgement.verdict == Verdict::Bad);
    CHECK(judgement.route == "/b");
}

TEST_CASE("Guards against a verdict from a route with few samples alone")
{
    const RouteSamples control { { "/a", { 1000, 5 } }, { "/b", { 9, 0 } } };
    const EngineSamples candidate {
        { kFirst, { { "/a", { 200, 0 } }, { "/b", { 8, 4 } } } },
        { kSecond, { { "/a", { 200, 0 } }, { "/b", { 8, 4 } } } },
    };
    CHECK(VersionJudge().judge(candidate, control) != Verdict::Bad);
}

TEST_CASE("Guards against a control share outside its limits")
{
    CHECK(VersionJudge::controlShare({ 100000, 0 }) == VersionJudge::kMinControlShare);
    CHECK(VersionJudge::controlShare({ 100, 99 }) == VersionJudge::kMaxControlShare);
    CHECK(VersionJudge::controlShare({ 0, 0 }) == VersionJudge::kMinControlShare);
}
