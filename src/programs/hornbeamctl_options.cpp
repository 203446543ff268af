#include "hornbeamctl_options.hpp"

#include <boost/program_options.hpp>

#include <algorithm>
#include <charconv>
#include <sstream>

namespace hornbeamgate::ctl {
namespace {

    namespace po = boost::program_options;

    constexpr std::int64_t kDefaultTimeoutSeconds = 15;
    constexpr std::int64_t kMaxTimeoutSeconds = 3600;
    constexpr std::size_t kMaxNameBytes = 128;

    constexpr const char* kUsage = R"(Usage: hornbeamctl [options] COMMAND [ARGUMENTS]

Checks and publishes the rules of a fleet and looks at its daemons.

Commands:
  check FILE               parse a rules file and name every fault by line and column
  publish FILE             make FILE the configuration of the whole fleet
  show                     print the accepted configuration with its version
  diff FILE                compare the accepted configuration with FILE
  key issue WORKSPACE      make a key, publish its hash and print the secret once
  key withdraw KEY         remove a key from the configuration
  status                   tell the accepted version and the last changes
  dump IP:PORT             print the state of the daemon with this admin address
  rollout start SERVICE VERSION SECONDS
                           order that a service's traffic moves to a version
  rollout status SERVICE   tell the order and the state of a service's rollout
  rollout abort SERVICE    remove the order; the version gets no more requests

publish builds on the version that the file names in its first line, '# version N',
as show prints it, or on --base. When another change was accepted meanwhile nothing
is published; run show, merge and publish again.

)";

    constexpr const char* kExitCodes = R"(
Exit codes:
  0  done
  1  diff found differences
  2  wrong usage
  3  the rules are faulty
  4  another change was accepted first; this one never will be
  5  unknown whether the change is or will be accepted; repeat it with --proposal,
     or look at rollout status
  6  not done: the log, the host or a file could not be used; nothing was published
)";

    po::options_description describeOptions()
    {
        po::options_description options("Options");
        auto add = options.add_options();
        add("log", po::value<std::string>()->value_name("URL"), "address of the platform's log, http://IP:PORT");
        add("store", po::value<std::string>()->value_name("URL"), "address of the platform's store, http://IP:PORT (rollout)");
        add("as", po::value<std::string>()->value_name("NAME"), "who asks; kept with every change");
        add("base", po::value<std::string>()->value_name("N|current"), "version that the change builds on");
        add("proposal", po::value<std::string>()->value_name("ID"), "id of an earlier attempt to repeat (publish) or to look up (status)");
        add("name", po::value<std::string>()->value_name("KEY"), "name of the new key (key issue)");
        add("pepper-file", po::value<std::string>()->value_name("FILE"), "file with the daemons' key_pepper (key issue)");
        add("timeout", po::value<std::int64_t>()->value_name("SECONDS")->default_value(kDefaultTimeoutSeconds), "when to give up");
        add("json", "print JSON for scripts");
        add("help", "print this text");
        return options;
    }

    Result<BaseOption, std::string> parseBase(const std::string& text)
    {
        if (text == "current")
            return BaseOption { true, {} };
        std::uint64_t version = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
        if (error != std::errc {} || end != text.data() + text.size())
            return failure(std::string("--base takes a version number or 'current'"));
        return BaseOption { false, ConfigVersion(version) };
    }

    Result<SocketAddress, std::string> parseUrl(const std::string& option, std::string_view text)
    {
        constexpr std::string_view kScheme = "http://";
        if (!text.starts_with(kScheme))
            return failure(option + " takes an address of the form http://IP:PORT");
        text.remove_prefix(kScheme.size());
        if (text.ends_with('/'))
            text.remove_suffix(1);
        return parseSocketAddress(text).map_error([&option](const std::string& detail) { return option + ": " + detail; });
    }

    std::string textOf(const po::variables_map& values, const char* name)
    {
        return values.contains(name) ? values[name].as<std::string>() : std::string();
    }

    bool isControl(char character)
    {
        const auto octet = static_cast<unsigned char>(character);
        return octet < 0x20 || octet == 0x7f;
    }

    std::optional<std::string> takeValues(const po::variables_map& values, Options& options)
    {
        options.wantsHelp = values.contains("help");
        options.isJson = values.contains("json");
        options.author = textOf(values, "as");
        options.keyName = textOf(values, "name");
        options.pepperFile = textOf(values, "pepper-file");
        if (values.contains("words"))
            options.words = values["words"].as<std::vector<std::string>>();
        if (values.contains("proposal"))
            options.proposal = ProposalId(textOf(values, "proposal"));
        const auto seconds = values["timeout"].as<std::int64_t>();
        if (seconds < 1 || seconds > kMaxTimeoutSeconds)
            return "--timeout takes 1 to 3600 seconds";
        options.timeout = std::chrono::seconds(seconds);
        if (options.author.size() > kMaxNameBytes || std::any_of(options.author.begin(), options.author.end(), isControl))
            return "--as takes at most 128 octets without control characters";
        if (values.contains("base")) {
            const auto base = parseBase(textOf(values, "base"));
            if (!base)
                return base.error();
            options.base = *base;
        }
        if (values.contains("log")) {
            auto log = parseUrl("--log", textOf(values, "log"));
            if (!log)
                return log.error();
            options.log = std::move(*log);
        }
        if (values.contains("store")) {
            auto store = parseUrl("--store", textOf(values, "store"));
            if (!store)
                return store.error();
            options.store = std::move(*store);
        }
        return std::nullopt;
    }

} // namespace

Result<Options, std::string> parseOptions(const std::vector<std::string>& arguments)
{
    auto described = describeOptions();
    described.add_options()("words", po::value<std::vector<std::string>>());
    po::positional_options_description positions;
    positions.add("words", -1);
    Options options;
    try {
        po::variables_map values;
        po::store(po::command_line_parser(arguments).options(described).positional(positions).run(), values);
        po::notify(values);
        if (auto fault = takeValues(values, options))
            return failure(std::move(*fault));
    } catch (const po::error& error) {
        return failure(std::string(error.what()));
    }
    return options;
}

std::string helpText()
{
    std::ostringstream text;
    text << kUsage << describeOptions() << kExitCodes;
    return text.str();
}

} // namespace hornbeamgate::ctl
