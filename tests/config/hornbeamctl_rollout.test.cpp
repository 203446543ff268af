#include "hornbeamctl_commands.hpp"

#include "hornbeamgate/runtime/net/http_acceptor.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <glib.h>

#include <sstream>

using namespace hornbeamgate;

namespace {

/// Stand-in for the platform's store that records appends and lists what the test sets.
struct Store {
    Store()
    {
        auto created = gateway::HttpAcceptor::create({ "127.0.0.1", 0 }, { gateway::respondImmediately([this](const gateway::HttpRequestMessage& message) { return answer(message); }), {}, {} });
        REQUIRE(created);
        acceptor = std::move(*created);
    }

    gateway::HttpSimpleResponse answer(const gateway::HttpRequestMessage& message)
    {
        const auto& target = message.head.target;
        if (target.starts_with("/hornbeamgate/log-append")) {
            appends.emplace_back(target, message.body);
            return { appendStatus, {}, R"({"offset":41,"end-offset":42})" };
        }
        const auto& records = target.find("topic=keyed.op&") != std::string::npos ? orders : states;
        nlohmann::json items = nlohmann::json::array();
        for (const auto& [key, value] : records) {
            char* encoded = g_base64_encode(reinterpret_cast<const guchar*>(value.data()), value.size());
            items.push_back({ { "key", key }, { "value", encoded }, { "offset", 41 } });
            g_free(encoded);
        }
        return { 200, {}, nlohmann::json { { "items", items }, { "has-more", false }, { "end-offset", 42 } }.dump() };
    }

    std::pair<int, std::string> run(std::vector<std::string> arguments) const
    {
        arguments.insert(arguments.begin(), "rollout");
        arguments.insert(arguments.end(), { "--store", "http://" + acceptor->address().text(), "--timeout", "2" });
        std::ostringstream out;
        std::ostringstream errors;
        const int code = ctl::runCommand(arguments, out, errors);
        return { code, out.str() + errors.str() };
    }

    int appendStatus = 200;
    std::vector<std::pair<std::string, std::string>> appends;
    std::vector<std::pair<std::string, std::string>> orders;
    std::vector<std::pair<std::string, std::string>> states;
    std::unique_ptr<gateway::HttpAcceptor> acceptor;
};

} // namespace

TEST_CASE("rollout start and abort write the operators' record once [hornbeamctl]")
{
    // A repeated order would begin the observation again.
    Store store;
    CHECK(store.run({ "start", "huvo11a", "v2", "12" }) == std::pair(0, std::string("ordered at offset 41\n")));
    CHECK(store.run({ "abort", "huvo11a" }) == std::pair(0, std::string("aborted at offset 41\n")));
    REQUIRE(store.appends.size() == 2);
    CHECK(store.appends[0].first == "/hornbeamgate/log-append?topic=keyed.op&part=0");
    constexpr std::size_t kLengthBytes = 4;
    const std::string key = "\x0frollout/huvo11a";
    REQUIRE(store.appends[0].second.substr(kLengthBytes, key.size()) == key);
    CHECK(nlohmann::json::parse(store.appends[0].second.substr(kLengthBytes + key.size())) == nlohmann::json { { "service", "huvo11a" }, { "to", "v2" }, { "duration-s", 12 } });
    CHECK(store.appends[1].second.substr(kLengthBytes) == key);
    store.appendStatus = 500;
    const auto [code, text] = store.run({ "start", "huvo11a", "v2", "12" });
    CHECK(code == 5);
    CHECK(text.find("rollout status") != std::string::npos);
    CHECK(store.appends.size() == 3);
}

TEST_CASE("rollout start rejects what the gateways could not read [hornbeamctl]")
{
    const Store store;
    for (const std::string seconds : { "0", "-1", "x", "12s", "nan", "inf", "" }) {
        CAPTURE(seconds);
        CHECK(store.run({ "start", "s", "v2", seconds }).first == 2);
    }
    CHECK(store.run({ "start", "s", "", "12" }).first == 2);
    CHECK(store.run({ "start", "s", "v2" }).first == 2);
    CHECK(store.appends.empty());
    std::ostringstream out;
    std::ostringstream errors;
    CHECK(ctl::runCommand({ "rollout", "status", "s" }, out, errors) == 2);
    CHECK(errors.str().find("--store") != std::string::npos);
}

TEST_CASE("rollout status tells the order and the state [hornbeamctl]")
{
    Store store;
    CHECK(store.run({ "status", "s" }) == std::pair(0, std::string("no order\nno state\n")));
    store.orders = { { "config", "{}" }, { "rollout/s", R"({"service":"s","to":"v2","duration-s":12})" } };
    store.states = { { "rollout/s", R"({"state":"running","to":"v2","order":41,"phase":"shift"})" } };
    CHECK(store.run({ "status", "s" }) == std::pair(0, std::string("order 41: to v2 within 12 s\nstate of order 41: running, shift, to v2\n")));
    const auto object = nlohmann::json::parse(store.run({ "status", "s", "--json" }).second);
    CHECK(object.at("order").at("to") == "v2");
    CHECK(object.at("state").at("phase") == "shift");
    store.states = { { "rollout/s", "{}" } };
    CHECK(store.run({ "status", "s" }).first == 6);
}
