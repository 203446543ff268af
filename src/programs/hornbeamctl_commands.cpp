#include "hornbeamctl_commands.hpp"

#include "hornbeamctl_log.hpp"
#include "hornbeamctl_options.hpp"
#include "hornbeamctl_report.hpp"
#include "hornbeamctl_rollout.hpp"

#include "hornbeamgate/base/digest.hpp"
#include "hornbeamgate/config/rules_parser.hpp"
#include "hornbeamgate/config/rules_writer.hpp"
#include "hornbeamgate/keys/key_hash.hpp"

#include <sodium.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <sstream>

namespace hornbeamgate::ctl {
namespace {

    constexpr std::size_t kProposalIdBytes = 16;
    constexpr std::size_t kKeySuffixBytes = 4;
    /// Attempts to put one line on top of whichever version is current.
    constexpr int kMaxRebases = 5;

    std::string randomHex(std::size_t bytes)
    {
        Bytes octets(bytes);
        randombytes_buf(octets.data(), octets.size());
        return toHex(octets);
    }

    std::optional<std::string> readFile(const std::string& path)
    {
        std::ifstream file(path, std::ios::binary);
        if (!file)
            return std::nullopt;
        std::ostringstream content;
        content << file.rdbuf();
        return content.str();
    }

    /// Version that the first line `# version N` of a rules file names.
    std::optional<ConfigVersion> versionInFile(std::string_view text)
    {
        constexpr std::string_view kPrefix = "# version ";
        if (!text.starts_with(kPrefix))
            return std::nullopt;
        text.remove_prefix(kPrefix.size());
        std::uint64_t version = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
        if (error != std::errc {})
            return std::nullopt;
        return ConfigVersion(version);
    }

    /// Duration of a rollout, which the gateways limit to a year.
    std::optional<std::chrono::milliseconds> parseSeconds(std::string_view text)
    {
        constexpr double kMaxSeconds = 365 * 24 * 3600;
        double seconds = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
        if (error != std::errc {} || end != text.data() + text.size() || !(seconds > 0 && seconds <= kMaxSeconds))
            return std::nullopt;
        return std::chrono::ceil<std::chrono::milliseconds>(std::chrono::duration<double>(seconds));
    }

    class Command {
    public:
        Command(Options options, const Report& report)
            : m_options(std::move(options))
            , m_report(report)
            , m_deadline(MonotonicClock::now() + m_options.timeout)
        {
        }

        ExitCode run()
        {
            for (const auto& entry : entries()) {
                if (!matches(entry))
                    continue;
                if (entry.needsStore && !m_options.store)
                    return m_report.usageError("this command needs --store");
                if (entry.needsLog && !m_options.log)
                    return m_report.usageError("this command needs --log");
                if (entry.needsAuthor && m_options.author.empty())
                    return m_report.usageError("this command needs --as, the name of who asks");
                return (this->*entry.run)(m_options.words.back());
            }
            return m_report.usageError(m_options.words.empty() ? "no command is given" : "unknown command or wrong number of arguments");
        }

    private:
        struct Entry {
            std::vector<std::string> words;
            std::size_t arguments;
            bool needsLog;
            bool needsAuthor;
            ExitCode (Command::*run)(const std::string& argument); ///< called with the last argument
            bool needsStore = false;
        };

        static const std::vector<Entry>& entries()
        {
            static const std::vector<Entry> kEntries {
                { { "check" }, 1, false, false, &Command::check },
                { { "publish" }, 1, true, true, &Command::publishFile },
                { { "show" }, 0, true, false, &Command::show },
                { { "diff" }, 1, true, false, &Command::diff },
                { { "key", "issue" }, 1, true, true, &Command::issueKey },
                { { "key", "withdraw" }, 1, true, true, &Command::withdrawKey },
                { { "status" }, 0, true, false, &Command::status },
                { { "dump" }, 1, false, false, &Command::dump },
                { { "rollout", "start" }, 3, false, false, &Command::startRollout, true },
                { { "rollout", "status" }, 1, false, false, &Command::rolloutStatus, true },
                { { "rollout", "abort" }, 1, false, false, &Command::abortRollout, true },
            };
            return kEntries;
        }

        bool matches(const Entry& entry) const
        {
            const auto& words = m_options.words;
            const auto expected = entry.words.size() + entry.arguments;
            return words.size() == expected && std::equal(entry.words.begin(), entry.words.end(), words.begin());
        }

        ExitCode check(const std::string& file)
        {
            return withRules(file, [&](const ParsedRules& parsed, const std::string&) { return m_report.checked(file, parsed.lines.size()); });
        }

        ExitCode publishFile(const std::string& file)
        {
            return withRules(file, [&](const ParsedRules& parsed, const std::string& text) {
                auto request = makeRequest(RuleDocument::fromLines(parsed.lines).value());
                request.base = versionInFile(text).value_or(ConfigVersion {});
                if (m_options.base)
                    request.base = m_options.base->isCurrent ? std::nullopt : std::optional(m_options.base->version);
                const auto id = request.id;
                return m_report.outcome(publish(*m_options.log, std::move(request)), id);
            });
        }

        ExitCode show(const std::string&)
        {
            return withConfig([&](const AcceptedConfig& config) { return m_report.config(config); });
        }

        ExitCode diff(const std::string& file)
        {
            return withRules(file, [&](const ParsedRules& parsed, const std::string&) {
                return withConfig([&](const AcceptedConfig& config) { return m_report.difference(config, RuleDocument::fromLines(parsed.lines).value()); });
            });
        }

        ExitCode status(const std::string&)
        {
            return withConfig([&](const AcceptedConfig& config) { return m_report.status(config, m_options.proposal); });
        }

        ExitCode dump(const std::string& text)
        {
            const auto address = parseSocketAddress(text);
            if (!address)
                return m_report.usageError(address.error());
            const auto body = fetchDump(*address, m_deadline);
            return body ? m_report.dump(*body) : m_report.notDone(body.error());
        }

        ExitCode issueKey(const std::string& workspace)
        {
            const auto pepper = readFile(m_options.pepperFile);
            if (!pepper)
                return m_report.usageError("key issue needs --pepper-file, a readable file with the daemons' key_pepper");
            const auto trimmed = pepper->substr(0, pepper->find_last_not_of("\r\n") + 1);
            const auto hasher = KeyHasher::create(Bytes(trimmed.begin(), trimmed.end()));
            if (!hasher)
                return m_report.usageError(hasher.error().detail);
            std::array<std::uint8_t, kKeySecretRandomBytes> random;
            randombytes_buf(random.data(), random.size());
            const auto secret = makeKeySecret(random);
            const auto name = m_options.keyName.empty() ? workspace + "-" + randomHex(kKeySuffixBytes) : m_options.keyName;
            const KeyRule rule { KeyId(name), WorkspaceId(workspace), hasher->hash(secret).toHex() };
            const auto published = publishLine({ { formatRuleLine(rule, "issued for " + m_options.author) }, {} }, "key " + name);
            return m_report.issued(published.outcome, published.id, name, secret);
        }

        ExitCode withdrawKey(const std::string& key)
        {
            const auto published = publishLine({ {}, { "key " + key } }, {});
            return m_report.outcome(published.outcome, published.id);
        }

        ExitCode startRollout(const std::string& seconds)
        {
            const auto duration = parseSeconds(seconds);
            if (!duration)
                return m_report.usageError("rollout start needs a positive number of seconds");
            const auto& version = m_options.words.at(3);
            if (version.empty())
                return m_report.usageError("rollout start needs a version");
            const ServiceId service(m_options.words.at(2));
            return m_report.rolloutChange("ordered", ctl::startRollout(*m_options.store, { service, version, *duration, {} }));
        }

        ExitCode abortRollout(const std::string& service)
        {
            return m_report.rolloutChange("aborted", ctl::abortRollout(*m_options.store, ServiceId(service)));
        }

        ExitCode rolloutStatus(const std::string& service)
        {
            const auto records = readRollout(*m_options.store, ServiceId(service), m_deadline);
            return records ? m_report.rollout(*records) : m_report.notDone(records.error());
        }

        struct Published {
            PublishOutcome outcome;
            ProposalId id;
        };

        /// Puts a change of one line on top of the current version; when another change comes first, on top of that one.
        Published publishLine(const RuleDelta& delta, const std::string& newRule)
        {
            Published published;
            for (int attempt = 0; attempt < kMaxRebases; ++attempt) {
                auto request = makeRequest(delta);
                request.newRule = newRule;
                published.id = request.id;
                published.outcome = publish(*m_options.log, std::move(request));
                if (!std::holds_alternative<PublishConflict>(published.outcome))
                    break;
            }
            return published;
        }

        PublishRequest makeRequest(std::variant<RuleDocument, RuleDelta> change) const
        {
            PublishRequest request;
            request.id = m_options.proposal.value_or(ProposalId(randomHex(kProposalIdBytes)));
            request.author = m_options.author;
            request.change = std::move(change);
            request.deadline = m_deadline;
            return request;
        }

        template <typename Use>
        ExitCode withRules(const std::string& file, Use use)
        {
            const auto text = readFile(file);
            if (!text)
                return m_report.notDone("cannot read " + file);
            const auto parsed = parseRulesWithLines(*text);
            return parsed ? use(*parsed, *text) : m_report.ruleFaults(file, parsed.error());
        }

        template <typename Use>
        ExitCode withConfig(Use use)
        {
            const auto config = readAcceptedConfig(*m_options.log, m_deadline);
            return config ? use(*config) : m_report.notDone(config.error());
        }

        Options m_options;
        const Report& m_report;
        MonotonicTime m_deadline;
    };

} // namespace

int runCommand(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& errors)
{
    auto options = parseOptions(arguments);
    const Report report(out, errors, options && options->isJson);
    if (!options)
        return static_cast<int>(report.usageError(options.error()));
    if (options->wantsHelp) {
        out << helpText();
        return static_cast<int>(ExitCode::Done);
    }
    if (sodium_init() < 0)
        return static_cast<int>(report.notDone("no source of random numbers"));
    return static_cast<int>(Command(std::move(*options), report).run());
}

} // namespace hornbeamgate::ctl
