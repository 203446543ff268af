#include "hornbeamgate/observability/metrics.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <sstream>
#include <vector>

namespace hornbeamgate {

namespace {

    namespace acc = boost::accumulators;

    constexpr std::array<std::string_view, static_cast<std::size_t>(Counter::CounterCount)> kCounterNames {
        "hornbeamgate_requests_accepted_total",
        "hornbeamgate_requests_completed_total",
        "hornbeamgate_requests_refused_total",
        "hornbeamgate_requests_failed_total",
        "hornbeamgate_requests_quarantined_total",
        "hornbeamgate_requests_at_limit_total",
        "hornbeamgate_sends_held_back_total",
        "hornbeamgate_responses_cut_off_total",
        "hornbeamgate_connections_refused_total",
        "hornbeamgate_connections_closed_for_memory_total",
        "hornbeamgate_stream_pieces_total",
        "hornbeamgate_runs_resumed_total",
        "hornbeamgate_runs_retried_total",
        "hornbeamgate_runs_cancelled_total",
        "hornbeamgate_prefix_blocks_asked_total",
        "hornbeamgate_prefix_blocks_hit_total",
        "hornbeamgate_bookings_executed_total",
        "hornbeamgate_bookings_replayed_total",
        "hornbeamgate_directory_calls_failed_total",
        "hornbeamgate_peer_bytes_sent_total",
        "hornbeamgate_requests_exposed_total",
        "hornbeamgate_version_responses_bad_total",
    };

    constexpr std::array<std::string_view, static_cast<std::size_t>(Latency::LatencyCount)> kLatencyNames {
        "hornbeamgate_time_to_first_piece_seconds",
        "hornbeamgate_time_between_pieces_seconds",
        "hornbeamgate_request_duration_seconds",
        "hornbeamgate_queue_wait_seconds",
        "hornbeamgate_response_delivery_seconds",
    };

    constexpr std::array kQuantiles { 0.5, 0.95, 0.99 };

    using Distribution = acc::accumulator_set<double,
        acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square_quantile>>;

    Distribution makeDistribution()
    {
        return Distribution(acc::extended_p_square_probabilities = kQuantiles);
    }

} // namespace

struct Metrics::State {
    std::array<std::uint64_t, kCounterNames.size()> counters {};
    std::vector<Distribution> latencies;
};

std::string_view counterName(Counter counter)
{
    return kCounterNames[static_cast<std::size_t>(counter)];
}

std::string_view latencyName(Latency latency)
{
    return kLatencyNames[static_cast<std::size_t>(latency)];
}

Metrics::Metrics()
    : m_state(std::make_unique<State>())
{
    for (std::size_t i = 0; i < kLatencyNames.size(); ++i)
        m_state->latencies.push_back(makeDistribution());
}

Metrics::~Metrics() = default;

void Metrics::add(Counter counter, std::uint64_t amount)
{
    m_state->counters[static_cast<std::size_t>(counter)] += amount;
}

std::uint64_t Metrics::value(Counter counter) const
{
    return m_state->counters[static_cast<std::size_t>(counter)];
}

void Metrics::observe(Latency latency, std::chrono::nanoseconds span)
{
    const double seconds = std::chrono::duration<double>(span).count();
    m_state->latencies[static_cast<std::size_t>(latency)](seconds);
}

std::string Metrics::page() const
{
    std::ostringstream page;
    for (std::size_t i = 0; i < kCounterNames.size(); ++i) {
        page << "# TYPE " << kCounterNames[i] << " counter\n";
        page << kCounterNames[i] << ' ' << m_state->counters[i] << '\n';
    }
    for (std::size_t i = 0; i < kLatencyNames.size(); ++i) {
        const auto& latency = m_state->latencies[i];
        page << "# TYPE " << kLatencyNames[i] << " summary\n";
        if (acc::count(latency) > 0) {
            for (const double quantile : kQuantiles) {
                page << kLatencyNames[i] << "{quantile=\"" << quantile << "\"} ";
                page << acc::quantile(latency, acc::quantile_probability = quantile) << '\n';
            }
        }
        page << kLatencyNames[i] << "_sum " << acc::sum(latency) << '\n';
        page << kLatencyNames[i] << "_count " << acc::count(latency) << '\n';
    }
    return page.str();
}

} // namespace hornbeamgate
