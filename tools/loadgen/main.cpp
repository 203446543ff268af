#include "load_run.hpp"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/parsers.hpp>
#include <boost/program_options/variables_map.hpp>
#include <nlohmann/json.hpp>

#include <iostream>

namespace po = boost::program_options;
using namespace hornbeamgate::loadgen;

namespace {

constexpr int kExitUnsound = 1;
constexpr int kExitUsage = 2;

po::options_description describeOptions(LoadOptions& options)
{
    po::options_description description("loadgen: sends streamed completion requests and checks every answer\n"
                                        "Exit code 1: an answer was wrong or cut off without an error; 2: wrong usage");
    auto text = [](std::string& target) { return po::value(&target); };
    auto number = [](auto& target) { return po::value(&target)->default_value(target); };
    description.add_options()("help", "print this text")("target", text(options.target)->required(), "ip:port")(
        "model", text(options.model)->required(), "model to ask for")(
        "key", po::value(&options.keys)->composing(), "key of a workspace; may be repeated")(
        "weights", number(options.weightsVersion), "weights version of the engines")(
        "max-tokens", number(options.maxTokens), "tokens of each answer")(
        "rate", number(options.requestsPerSecond), "requests that begin in a second; 0: one begins when one ends")(
        "concurrency", number(options.concurrency), "largest number of requests under way")(
        "seconds", po::value<std::int64_t>()->default_value(options.length.count()), "time in which requests begin")(
        "prompt-levels", number(options.prompts.levels), "nested prefixes that prompts share")(
        "level-bytes", number(options.prompts.bytesPerLevel), "bytes of one level")(
        "branches", number(options.prompts.branches), "different continuations at each level")(
        "workspaces", number(options.prompts.workspaces), "workspaces that prompts belong to")(
        "seed", number(options.seed), "seed of the prompts")("json", po::bool_switch(), "print the report as JSON");
    return description;
}

} // namespace

int main(int argc, char** argv)
{
    LoadOptions options;
    const auto description = describeOptions(options);
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, description), values);
        if (values.count("help") != 0) {
            std::cout << description;
            return 0;
        }
        po::notify(values);
    } catch (const po::error& error) {
        std::cerr << error.what() << '\n';
        return kExitUsage;
    }
    if (options.prompts.branches == 0 || options.prompts.workspaces == 0 || options.concurrency == 0 || options.maxTokens == 0) {
        std::cerr << "--branches, --workspaces, --concurrency and --max-tokens are at least 1\n";
        return kExitUsage;
    }
    options.length = std::chrono::seconds(values["seconds"].as<std::int64_t>());
    LoadRun load(options);
    load.run();
    const LoadReport& report = load.report();
    std::cout << (values["json"].as<bool>() ? report.toJson().dump(2) + "\n" : report.toText());
    return report.sound() ? 0 : kExitUnsound;
}
