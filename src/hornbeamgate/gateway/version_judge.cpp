#include "hornbeamgate/gateway/version_judge.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace hornbeamgate::gateway {
namespace {

    /// Log-likelihood ratios of one response.
    struct Weights {
        double bad = 0;
        double good = 0;

        explicit Weights(double controlShare)
        {
            const auto alternative = std::min(VersionJudge::kMaxAlternativeShare, controlShare + std::max(VersionJudge::kMinExcess, controlShare));
            bad = std::log(alternative / controlShare);
            good = std::log((1 - alternative) / (1 - controlShare));
        }

        double of(const RouteSample& sample) const
        {
            return static_cast<double>(sample.bad) * bad + static_cast<double>(sample.responses - sample.bad) * good;
        }
    };

    /// What the engines of a version say about one route, or about all of them.
    struct Evidence {
        struct Engine {
            double evidence = 0;
            std::uint64_t bad = 0;
        };
        std::vector<Engine> engines;
        RouteSample sample;

        void add(double evidence, const RouteSample& engineSample)
        {
            engines.push_back({ evidence, engineSample.bad });
            sample += engineSample;
        }

        /// Returns the sum of the evidence, of which `limit` counts for each engine at most.
        double limited(double limit) const
        {
            return std::accumulate(engines.begin(), engines.end(), 0.0, [limit](double sum, const Engine& engine) { return sum + std::min(engine.evidence, limit); });
        }

        Verdict verdict() const
        {
            const auto badThreshold = std::log((1 - VersionJudge::kFalseGoodRate) / VersionJudge::kFalseBadRate);
            const auto goodThreshold = std::log(VersionJudge::kFalseGoodRate / (1 - VersionJudge::kFalseBadRate));
            const auto limit = engines.size() > 1 ? VersionJudge::kMaxEngineEvidence * badThreshold : badThreshold;
            const auto sum = limited(limit);
            double highest = 0;
            std::uint64_t badOfHighest = 0;
            for (const auto& engine : engines) {
                if (engine.evidence > highest) {
                    highest = engine.evidence;
                    badOfHighest = engine.bad;
                }
            }
            const bool isLimited = engines.size() > 1 && highest > limit;
            if (sum >= badThreshold)
                return isLimited && sample.bad - badOfHighest < VersionJudge::kMinBadElsewhere ? Verdict::Undecided : Verdict::Bad;
            // An engine that fails by itself doesn't prevent the verdict of the others.
            return sum - (isLimited ? limit : 0) <= goodThreshold ? Verdict::Good : Verdict::Undecided;
        }

        /// Returns whether "bad" is clearly likelier than "good", apart from one engine that fails by itself.
        bool isSuspect() const
        {
            const auto highest = std::max_element(engines.begin(), engines.end(), [](const auto& a, const auto& b) { return a.evidence < b.evidence; });
            const auto limit = VersionJudge::kMaxEngineEvidence * std::log((1 - VersionJudge::kFalseGoodRate) / VersionJudge::kFalseBadRate);
            const bool isLimited = engines.size() > 1 && highest->evidence > limit;
            return limited(limit) - (isLimited ? limit : 0) > std::log(VersionJudge::kSuspectRatio);
        }
    };

    RouteSample sumOf(const RouteSamples& routes)
    {
        RouteSample sum;
        for (const auto& [route, sample] : routes)
            sum += sample;
        return sum;
    }

} // namespace

RouteSample& RouteSample::operator+=(const RouteSample& other)
{
    responses += other.responses;
    bad += other.bad;
    return *this;
}

double VersionJudge::controlShare(const RouteSample& control)
{
    // One bad response more than were seen: a control group with few responses does not prove a low share.
    const auto share = (static_cast<double>(control.bad) + 1) / (static_cast<double>(control.responses) + 2);
    return control.responses == 0 ? kMinControlShare : std::clamp(share, kMinControlShare, kMaxControlShare);
}

Judgement VersionJudge::judgeInDetail(const EngineSamples& candidate, const RouteSamples& control) const
{
    const auto pooledShare = controlShare(sumOf(control));
    const auto shareOn = [&](const std::string& route) {
        const auto found = control.find(route);
        return found != control.end() && found->second.responses >= kMinRouteResponses ? controlShare(found->second) : pooledShare;
    };

    std::map<std::string, Evidence> routes;
    Evidence total;
    for (const auto& [engine, samples] : candidate) {
        double evidence = 0;
        for (const auto& [route, sample] : samples) {
            const auto ofRoute = Weights(shareOn(route)).of(sample);
            routes[route].add(ofRoute, sample);
            evidence += ofRoute;
        }
        total.add(evidence, sumOf(samples));
    }

    bool isRouteSuspect = false;
    for (auto& [route, evidence] : routes) {
        const auto found = control.find(route);
        if (found == control.end() || found->second.responses < kMinRouteResponses || evidence.sample.responses < kMinRouteResponses)
            continue;
        evidence.engines.resize(candidate.size());
        if (evidence.verdict() == Verdict::Bad)
            return { Verdict::Bad, route, evidence.sample, shareOn(route) };
        isRouteSuspect |= evidence.isSuspect();
    }
    const auto verdict = total.verdict();
    // A fault on one route may be too rare in the sum to show there.
    return { verdict == Verdict::Good && isRouteSuspect ? Verdict::Undecided : verdict, {}, total.sample, pooledShare };
}

} // namespace hornbeamgate::gateway
