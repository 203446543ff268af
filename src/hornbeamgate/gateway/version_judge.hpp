#pragma once

#include "hornbeamgate/base/ids.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace hornbeamgate::gateway {

/// Responses of one route. Both counts only grow while a daemon runs.
struct RouteSample {
    std::uint64_t responses = 0;
    std::uint64_t bad = 0;

    RouteSample& operator+=(const RouteSample& other);
    bool operator==(const RouteSample&) const = default;
};

using RouteSamples = std::map<std::string, RouteSample>; ///< by route name
using EngineSamples = std::map<EndpointId, RouteSamples>;

enum class Verdict {
    Undecided,
    Good,
    Bad,
};

/// A verdict with its inputs, for the log.
struct Judgement {
    Verdict verdict = Verdict::Undecided;
    std::string route; ///< on which the verdict is based; empty for the sum over all routes
    RouteSample candidate;
    double controlShare = 0; ///< share of bad responses that the control group explains
};

/// Decides whether the responses of a new version are worse than those of the engines it replaces.
///
/// Each route, and the sum over all routes, is judged by a sequential probability ratio test, so that a bad version is found
/// after few responses and a verdict may be asked for after every response.
///
/// Designed for a few dozen responses of the new version from two or more engines, one of which may fail for reasons of its
/// own, beside ten times as many responses of the control group.
class VersionJudge {
public:
    static constexpr double kFalseBadRate = 0.001; ///< per route
    static constexpr double kFalseGoodRate = 0.01;
    static constexpr double kMinControlShare = 0.01;
    static constexpr double kMaxControlShare = 0.5;
    /// A bad version exceeds the control group's share by this, or by the share itself if that is more.
    static constexpr double kMinExcess = 0.15;
    static constexpr double kMaxAlternativeShare = 0.95;
    /// Evidence of one engine counts up to this part of the threshold for "bad" if the version has several engines.
    static constexpr double kMaxEngineEvidence = 0.6;
    /// If that limit takes effect, the other engines must have this many bad responses for the verdict "bad". Without it, one
    /// bad response of another engine would do, which a good version often has.
    static constexpr std::uint64_t kMinBadElsewhere = 3;
    /// A route on which "bad" is this many times likelier than "good" prevents the verdict "good". With a ratio of 1, one bad
    /// response among a dozen did so, and 12 of 200 good versions were not completed in a simulation.
    static constexpr double kSuspectRatio = 3;
    /// A route with fewer responses on either side is judged only as a part of the sum.
    static constexpr std::uint64_t kMinRouteResponses = 10;

    /// `candidate` contains all engines of the version that may get requests, also those without responses.
    Verdict judge(const EngineSamples& candidate, const RouteSamples& control) const { return judgeInDetail(candidate, control).verdict; }
    Judgement judgeInDetail(const EngineSamples& candidate, const RouteSamples& control) const;

    /// Returns the share of bad responses that the control group explains, within the limits above.
    static double controlShare(const RouteSample& control);
};

} // namespace hornbeamgate::gateway
