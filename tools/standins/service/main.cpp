#include "common/program.hpp"
#include "service/service_server.hpp"

namespace po = boost::program_options;
using namespace hornbeamgate::standins;

int main(int argc, char** argv)
{
    po::options_description options("standin-service: application service that counts its bookings");
    options.add_options()("service-ms", po::value<std::int64_t>()->default_value(0), "time from a call to its answer");
    int exitCode = 0;
    const auto values = readOptions(argc, argv, std::move(options), exitCode);
    if (!values)
        return exitCode;
    ServiceServer service(std::chrono::milliseconds((*values)["service-ms"].as<std::int64_t>()));
    return listenAndServe(*values, [&](ExchangePtr exchange) { service.serve(std::move(exchange)); });
}
