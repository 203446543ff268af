#include "common/main_loop.hpp"
#include "common/program.hpp"
#include "engine/engine_server.hpp"

#include <charconv>
#include <iostream>

namespace po = boost::program_options;
using namespace hornbeamgate::standins;

namespace {

po::options_description describeOptions()
{
    po::options_description options("standin-engine: model engine with made-up tokens");
    options.add_options()("model", po::value<std::vector<std::string>>()->composing()->required(),
        "NAME:VERSION of a model that it serves; may be repeated")(
        "slots", po::value<std::size_t>()->default_value(32), "runs that generate at the same time")(
        "prefill-ms-per-block", po::value<std::int64_t>()->default_value(40), "prefill time of a block that is not cached")(
        "ms-per-token", po::value<std::int64_t>()->default_value(10), "time between two tokens of a run")(
        "cache-blocks", po::value<std::size_t>()->default_value(4000), "blocks that the cache holds")(
        "cache-idle-ms", po::value<std::int64_t>()->default_value(0), "a block unused for longer is evicted; 0 sets no limit")(
        "event-lag-ms", po::value<std::int64_t>()->default_value(0), "time until a cache event is listed")(
        "event-gap-every", po::value<std::uint64_t>()->default_value(0), "every n-th cache event is lost; 0 loses none")(
        "load-lag-ms", po::value<std::int64_t>()->default_value(0), "time between two renewals of the load report")(
        "weight-load-ms", po::value<std::int64_t>()->default_value(1000), "time that loading weights takes")(
        "unread-run-ms", po::value<std::int64_t>()->default_value(5000), "a run that nobody reads is cancelled after this time")(
        "checks-fencing", po::bool_switch(), "refuse an order whose fencing number is older than one seen");
    return options;
}

std::chrono::milliseconds milliseconds(const po::variables_map& values, const char* name)
{
    return std::chrono::milliseconds(values[name].as<std::int64_t>());
}

/// Adds NAME:VERSION to `models`; false when it is malformed.
bool addModel(const std::string& text, std::map<std::string, std::uint64_t>& models)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return false;
    std::uint64_t version = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, version);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return false;
    models[text.substr(0, colon)] = version;
    return true;
}

EngineOptions toOptions(const po::variables_map& values)
{
    EngineOptions options;
    options.cache.capacity = values["cache-blocks"].as<std::size_t>();
    options.cache.idleLifetime = milliseconds(values, "cache-idle-ms");
    options.cache.eventLag = milliseconds(values, "event-lag-ms");
    options.cache.eventGapEvery = values["event-gap-every"].as<std::uint64_t>();
    options.runs.slots = values["slots"].as<std::size_t>();
    options.runs.prefillPerBlock = milliseconds(values, "prefill-ms-per-block");
    options.runs.unwantedLifetime = milliseconds(values, "unread-run-ms");
    options.timePerToken = std::max(std::chrono::milliseconds(1), milliseconds(values, "ms-per-token"));
    options.loadLag = milliseconds(values, "load-lag-ms");
    options.weightLoadTime = milliseconds(values, "weight-load-ms");
    options.checksFencing = values["checks-fencing"].as<bool>();
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    int exitCode = 0;
    const auto values = readOptions(argc, argv, describeOptions(), exitCode);
    if (!values)
        return exitCode;
    EngineOptions options = toOptions(*values);
    for (const std::string& text : (*values)["model"].as<std::vector<std::string>>()) {
        if (!addModel(text, options.models)) {
            std::cerr << "a model is given as NAME:VERSION: " << text << '\n';
            return 2;
        }
    }
    EngineServer engine(options);
    runEvery(options.timePerToken, [&] { engine.step(); });
    if (options.loadLag.count() > 0)
        runEvery(options.loadLag, [&] { engine.reportLoad(); });
    return listenAndServe(*values, [&](ExchangePtr exchange) { engine.serve(std::move(exchange)); });
}
