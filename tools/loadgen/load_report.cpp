#include "load_report.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <sstream>

namespace hornbeamgate::loadgen {

namespace {

    namespace acc = boost::accumulators;

    constexpr std::array kQuantiles { 0.5, 0.95, 0.99 };
    constexpr std::array kQuantileNames { "p50_ms", "p95_ms", "p99_ms" };

    using Distribution
        = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::extended_p_square_quantile>>;

    nlohmann::json summary(const Distribution& distribution)
    {
        nlohmann::json result { { "count", acc::count(distribution) } };
        if (acc::count(distribution) == 0)
            return result;
        result["mean_ms"] = acc::mean(distribution);
        for (std::size_t i = 0; i < kQuantiles.size(); ++i)
            result[kQuantileNames[i]] = acc::quantile(distribution, acc::quantile_probability = kQuantiles[i]);
        return result;
    }

    double inMilliseconds(std::chrono::nanoseconds span)
    {
        return std::chrono::duration<double, std::milli>(span).count();
    }

} // namespace

struct LoadReport::Distributions {
    Distribution firstToken { acc::extended_p_square_probabilities = kQuantiles };
    Distribution betweenTokens { acc::extended_p_square_probabilities = kQuantiles };
};

LoadReport::LoadReport()
    : m_distributions(std::make_unique<Distributions>())
{
}

LoadReport::~LoadReport() = default;

void LoadReport::addFirstToken(std::chrono::nanoseconds sinceRequest)
{
    m_distributions->firstToken(inMilliseconds(sinceRequest));
}

void LoadReport::addBetweenTokens(std::chrono::nanoseconds span)
{
    m_distributions->betweenTokens(inMilliseconds(span));
}

nlohmann::json LoadReport::toJson() const
{
    return {
        { "complete", m_complete },
        { "incomplete", m_incomplete },
        { "unanswered", m_unanswered },
        { "skipped", m_skipped },
        { "wrong", m_wrong },
        { "failed", m_failed },
        { "refused", m_refused },
        { "time_to_first_token", summary(m_distributions->firstToken) },
        { "time_between_tokens", summary(m_distributions->betweenTokens) },
    };
}

std::string LoadReport::toText() const
{
    std::ostringstream text;
    const auto figures = toJson().flatten();
    for (const auto& [name, value] : figures.items())
        text << name.substr(1) << '=' << value << '\n';
    return text.str();
}

} // namespace hornbeamgate::loadgen
