#pragma once

#include "common/http_server.hpp"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include <cstdint>
#include <optional>

namespace hornbeamgate::standins {

/// Reads the command line. `options` gets `--help` and `--port` added. Returns nothing after it has printed
/// the help or the error; `exitCode` then is what the program must return.
std::optional<boost::program_options::variables_map> readOptions(
    int argc, char** argv, boost::program_options::options_description options, int& exitCode);

/// Listens on the port of the command line, prints `listening=ADDRESS:PORT` and serves until a signal.
int listenAndServe(const boost::program_options::variables_map& values, HttpServer::Handler handler);

} // namespace hornbeamgate::standins
