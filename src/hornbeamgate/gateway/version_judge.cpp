#include "hornbeamgate/gateway/version_judge.hpp"

#include <algorithm>
#include <cmath>
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
        std::vector<double> engines;
        RouteSample sample;

        void add(double evidence, const RouteSample& engineSample)
        {
            engines.push_back(evidence);
            sample += engineSample;
        }

        Verdict verdict() const
        {
            const auto badThreshold = std::log((1 - VersionJudge::kFalseGoodRate) / VersionJudge::kFalseBadRate);
            const auto goodThreshold = std::log(VersionJudge::kFalseGoodRate / (1 - VersionJudge::kFalseBadRate));
            const auto limit = engines.size() > 1 ? VersionJudge::kMaxEngineEvidence * badThreshold : badThreshold;
            double sum = 0;
            for (const auto evidence : engines)
                sum += std::min(evidence, limit);
            if (sum >= badThreshold)
                return Verdict::Bad;
            return sum <= goodThreshold ? Verdict::Good : Verdict::Undecided;
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

    for (auto& [route, evidence] : routes) {
        const auto found = control.find(route);
        if (found == control.end() || found->second.responses < kMinRouteResponses || evidence.sample.responses < kMinRouteResponses)
            continue;
        evidence.engines.resize(candidate.size());
        if (evidence.verdict() == Verdict::Bad)
            return { Verdict::Bad, route, evidence.sample, shareOn(route) };
    }
    return { total.verdict(), {}, total.sample, pooledShare };
}

} // namespace hornbeamgate::gateway
