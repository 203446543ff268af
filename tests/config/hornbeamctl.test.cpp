#include "hornbeamctl_commands.hpp"
#include "hornbeamgate/config/rules_parser.hpp"
#include "hornbeamgate/keys/key_ring.hpp"
#include "hornbeamgate/runtime/platform_log_client.hpp"

#include "platform/platform_server.hpp"
#include "runtime/loop_support.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <sstream>

using namespace hornbeamgate;
using hornbeamgate::testing::runUntil;

namespace {

const std::string kPepper = "a pepper of the tests";
const std::string kRules = "workspace a requests=20/s burst=40 tokens=300/s token-burst=600  # Ana\nmodel m weights=1  # Ana\n";

/// Temporary file that is removed on destruction.
class TemporaryFile {
public:
    explicit TemporaryFile(const std::string& content)
    {
        const auto file = mkstemp(m_path.data());
        REQUIRE(file >= 0);
        close(file);
        std::ofstream(m_path) << content;
    }
    ~TemporaryFile() { std::remove(m_path.c_str()); }
    TemporaryFile(const TemporaryFile&) = delete;
    TemporaryFile& operator=(const TemporaryFile&) = delete;

    const std::string& path() const { return m_path; }

private:
    std::string m_path = "/tmp/hornbeamctl-test-XXXXXX";
};

struct CommandResult {
    int exitCode;
    std::string out;
    std::string errors;
};

CommandResult runCtl(const std::vector<std::string>& arguments)
{
    std::ostringstream out;
    std::ostringstream errors;
    const auto exitCode = ctl::runCommand(arguments, out, errors);
    return { exitCode, out.str(), errors.str() };
}

/// Platform stand-in that runs in the main loop of the test.
struct Platform {
    Platform()
        : platform({})
    {
        auto listening = standins::HttpServer::create(0, [this](standins::ExchangePtr exchange) { platform.serve(std::move(exchange)); });
        REQUIRE(listening);
        server.emplace(std::move(*listening));
    }

    SocketAddress address() const { return { "127.0.0.1", server->port() }; }

    CommandResult run(std::vector<std::string> arguments) const
    {
        arguments.insert(arguments.end(), { "--log", "http://" + address().text(), "--as", "Ana", "--timeout", "2" });
        return runCtl(arguments);
    }

    void inject(const std::string& fault) const
    {
        HttpRequester requester;
        bool isDone = false;
        requester.send({ "POST", address(), "/faults", "application/json", fault }, MonotonicClock::now() + std::chrono::seconds(10),
            [&](const auto& answer) { isDone = answer && answer->status == 200; });
        REQUIRE(runUntil([&] { return isDone; }));
    }

    standins::PlatformServer platform;
    std::optional<standins::HttpServer> server;
};

} // namespace

TEST_CASE("help lists all commands, options and exit codes, and usage errors name the cause [hornbeamctl]")
{
    const auto help = runCtl({ "--help" });
    CHECK(help.exitCode == 0);
    for (const char* word : { "check FILE", "publish FILE", "show", "diff FILE", "key issue", "key withdraw", "status", "dump", "--json", "Exit codes" })
        CHECK(help.out.find(word) != std::string::npos);
    struct Case {
        std::vector<std::string> arguments;
        std::string_view reason;
    };
    const Case cases[] = {
        { {}, "no command" },
        { { "fly" }, "unknown command" },
        { { "check" }, "wrong number of arguments" },
        { { "show" }, "--log" },
        { { "publish", "f", "--log", "http://127.0.0.1:1" }, "--as" },
        { { "show", "--log", "127.0.0.1:1" }, "http://IP:PORT" },
        { { "show", "--log", "http://example.net:1" }, "--log" },
        { { "show", "--timeout", "0" }, "--timeout" },
        { { "publish", "f", "--base", "newest" }, "--base" },
        { { "show", "--as", "A\nB" }, "--as" },
        { { "show", "--colour" }, "colour" },
        { { "dump", "host" }, "" },
    };
    for (const auto& entry : cases) {
        const auto result = runCtl(entry.arguments);
        CAPTURE(result.errors);
        CHECK(result.exitCode == 2);
        CHECK(result.errors.find(entry.reason) != std::string::npos);
    }
}

TEST_CASE("check reports faults with line and column as text and JSON [hornbeamctl]")
{
    const TemporaryFile good(kRules);
    const TemporaryFile bad(kRules + "model n weights=1\n");
    CHECK(runCtl({ "check", good.path() }).exitCode == 0);
    const auto text = runCtl({ "check", bad.path() });
    CHECK(text.exitCode == 3);
    CHECK(text.errors.starts_with(bad.path() + ":3:18: "));
    const auto faults = nlohmann::json::parse(runCtl({ "check", bad.path(), "--json" }).out).at("faults");
    CHECK(faults.at(0).at("line") == 3);
    CHECK(runCtl({ "check", "/nowhere/rules" }).exitCode == 6);
}

TEST_CASE("a published configuration can be shown, compared and changed [hornbeamctl]")
{
    const Platform platform;
    const TemporaryFile first(kRules);
    CHECK(platform.run({ "publish", first.path() }).out == "accepted as version 1\n");
    const auto shown = platform.run({ "show" });
    CHECK(shown.out.starts_with("# version 1\nworkspace a "));
    CHECK(platform.run({ "diff", first.path() }).exitCode == 0);

    const TemporaryFile second(shown.out + "model n weights=2  # Bor\n");
    const auto difference = platform.run({ "diff", second.path() });
    CHECK(difference.exitCode == 1);
    CHECK(difference.out == "+ model n weights=2  # Bor\n");
    CHECK(platform.run({ "publish", second.path() }).exitCode == 0);
    const auto late = platform.run({ "publish", second.path() });
    CHECK(late.exitCode == 4);
    CHECK(late.errors.find("version 2 was published by Ana") != std::string::npos);
    CHECK(platform.run({ "publish", second.path(), "--base", "current" }).out == "version 2 already says this\n");
    CHECK(platform.run({ "publish", second.path(), "--base", "9" }).exitCode == 6);
    const auto status = nlohmann::json::parse(platform.run({ "status", "--json" }).out);
    CHECK(status.at("version") == 2);
    CHECK(status.at("recent").size() == 2);
}

TEST_CASE("an issued key grants access until it is withdrawn, and only key issue prints its secret [hornbeamctl]")
{
    const Platform platform;
    const TemporaryFile rules(kRules);
    const TemporaryFile pepper(kPepper + "\n");
    REQUIRE(platform.run({ "publish", rules.path() }).exitCode == 0);
    const auto issued = platform.run({ "key", "issue", "a", "--name", "a-1", "--pepper-file", pepper.path(), "--json" });
    REQUIRE(issued.exitCode == 0);
    const auto secret = nlohmann::json::parse(issued.out).at("secret").get<std::string>();
    const auto shown = platform.run({ "show" }).out;
    const auto hasher = KeyHasher::create(Bytes(kPepper.begin(), kPepper.end())).value();
    CHECK(KeyRing::create(parseRules(shown).value(), hasher)->find(secret) == KeyOwner { KeyId("a-1"), WorkspaceId("a") });
    CHECK(shown.find(secret) == std::string::npos);
    CHECK(platform.run({ "key", "issue", "a", "--name", "a-1", "--pepper-file", pepper.path() }).exitCode == 6);
    CHECK(platform.run({ "key", "issue", "b", "--pepper-file", pepper.path() }).exitCode == 6);
    CHECK(platform.run({ "key", "issue", "a" }).exitCode == 2);
    CHECK(platform.run({ "key", "withdraw", "a-1" }).exitCode == 0);
    CHECK(platform.run({ "key", "withdraw", "a-1" }).exitCode == 6);
    CHECK(platform.run({ "show" }).out.find("key a-1") == std::string::npos);
}

TEST_CASE("publish reports the actual outcome when the log fails [hornbeamctl]")
{
    struct Case {
        const char* fault;
        int exitCode;
    };
    const Case cases[] = {
        { R"({"fault":"lose_answer","target":"log","count":2})", 0 },
        { R"({"fault":"drop","target":"log","count":2})", 0 },
        { R"({"fault":"outage","target":"log","count":1000})", 6 },
    };
    for (const auto& entry : cases) {
        CAPTURE(entry.fault);
        const Platform platform;
        const TemporaryFile rules(kRules);
        platform.inject(entry.fault);
        CHECK(platform.run({ "publish", rules.path() }).exitCode == entry.exitCode);
        if (entry.exitCode == 0)
            CHECK(platform.run({ "status" }).out.starts_with("version 1, 2 rules\n"));
    }
    CHECK(runCtl({ "show", "--log", "http://127.0.0.1:1", "--timeout", "1" }).exitCode == 6);
}

TEST_CASE("dump prints the state of a daemon or reports an error [hornbeamctl]")
{
    unsigned status = 200;
    auto server = standins::HttpServer::create(0, [&](const standins::ExchangePtr& exchange) { exchange->answer(status, "application/json", "{\"state\":1}"); });
    REQUIRE(server);
    const auto address = "127.0.0.1:" + std::to_string(server->port());
    CHECK(runCtl({ "dump", address }).out == "{\"state\":1}\n");
    status = 404;
    CHECK(runCtl({ "dump", address }).exitCode == 6);
    CHECK(runCtl({ "dump", "127.0.0.1:1", "--timeout", "1" }).exitCode == 6);
}
