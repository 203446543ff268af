#pragma once

#include "hornbeamgate/base/ids.hpp"
#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/config/accepted_config.hpp"
#include "hornbeamgate/settings/settings_reader.hpp"

#include <optional>
#include <string>
#include <vector>

namespace hornbeamgate::ctl {

/// Exit codes of hornbeamctl.
enum class ExitCode : int {
    Done = 0,
    Differs = 1, ///< `diff` found differences
    UsageError = 2,
    FaultyRules = 3,
    LostRace = 4, ///< another change was accepted first
    OutcomeUnknown = 5, ///< the change may be accepted now or later
    NotDone = 6, ///< nothing was published; the log, a host or a file could not be used
};

/// Version that a published change builds on.
struct BaseOption {
    bool isCurrent = false; ///< whichever is current
    ConfigVersion version;
};

/// Command line of hornbeamctl.
struct Options {
    bool wantsHelp = false;
    std::vector<std::string> words; ///< command and its arguments
    std::optional<SocketAddress> log;
    std::optional<SocketAddress> store;
    std::string author;
    std::string keyName;
    std::string pepperFile;
    std::optional<BaseOption> base;
    std::optional<ProposalId> proposal;
    Duration timeout {};
    bool isJson = false;
};

Result<Options, std::string> parseOptions(const std::vector<std::string>& arguments);

/// Text of `--help`.
std::string helpText();

} // namespace hornbeamgate::ctl
