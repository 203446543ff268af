#include "common/program.hpp"

#include "common/main_loop.hpp"

#include <boost/program_options/parsers.hpp>

#include <iostream>

namespace hornbeamgate::standins {

namespace po = boost::program_options;

std::optional<po::variables_map> readOptions(int argc, char** argv, po::options_description options, int& exitCode)
{
    options.add_options()("help", "print this text")(
        "port", po::value<std::uint16_t>()->default_value(0), "port on 127.0.0.1; 0 lets the kernel choose");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, options), values);
        po::notify(values);
    } catch (const po::error& error) {
        std::cerr << error.what() << '\n';
        exitCode = 2;
        return std::nullopt;
    }
    if (values.count("help") != 0) {
        std::cout << options;
        exitCode = 0;
        return std::nullopt;
    }
    return values;
}

int listenAndServe(const po::variables_map& values, HttpServer::Handler handler)
{
    const auto server = HttpServer::create(values["port"].as<std::uint16_t>(), std::move(handler));
    if (!server) {
        std::cerr << "cannot listen: " << server.error() << '\n';
        return 1;
    }
    std::cout << "listening=127.0.0.1:" << server->port() << std::endl;
    runMainLoop();
    return 0;
}

} // namespace hornbeamgate::standins
