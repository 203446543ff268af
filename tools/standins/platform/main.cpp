#include "common/program.hpp"
#include "platform/platform_server.hpp"

#include <iostream>

namespace po = boost::program_options;
using namespace hornbeamgate::standins;

namespace {

po::options_description describeOptions()
{
    po::options_description options("standin-platform: append-only log, host list and weight store in memory");
    options.add_options()("log-kept-records", po::value<std::size_t>()->default_value(100000), "records kept per stream")(
        "log-kept-seconds", po::value<std::int64_t>()->default_value(3600), "time that a record is kept")(
        "log-appends-per-second", po::value<double>()->default_value(300), "append rate over all streams; 0 sets no limit")(
        "host-list-lag-ms", po::value<std::int64_t>()->default_value(0), "time until the host list shows a change")(
        "host", po::value<std::vector<std::string>>()->composing()->default_value({}, ""),
        "name,ip:port,data_center,region,role; may be repeated")(
        "weight-reads-per-second", po::value<double>()->default_value(10), "rate of the weight store; 0 sets no limit")(
        "weight-read-ms", po::value<std::int64_t>()->default_value(0), "time that one read takes");
    return options;
}

PlatformOptions toOptions(const po::variables_map& values)
{
    PlatformOptions options;
    options.log.keptRecords = values["log-kept-records"].as<std::size_t>();
    options.log.keptFor = std::chrono::seconds(values["log-kept-seconds"].as<std::int64_t>());
    options.log.appendsPerSecond = values["log-appends-per-second"].as<double>();
    options.log.appendBurst = options.log.appendsPerSecond;
    options.hostListLag = std::chrono::milliseconds(values["host-list-lag-ms"].as<std::int64_t>());
    options.weightReadsPerSecond = values["weight-reads-per-second"].as<double>();
    options.weightReadTime = std::chrono::milliseconds(values["weight-read-ms"].as<std::int64_t>());
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    int exitCode = 0;
    const auto values = readOptions(argc, argv, describeOptions(), exitCode);
    if (!values)
        return exitCode;
    PlatformServer platform(toOptions(*values));
    for (const std::string& text : (*values)["host"].as<std::vector<std::string>>()) {
        auto host = parseHostOption(text);
        if (!host) {
            std::cerr << host.error() << '\n';
            return 2;
        }
        platform.registerHost(std::move(*host));
    }
    return listenAndServe(*values, [&](ExchangePtr exchange) { platform.serve(std::move(exchange)); });
}
