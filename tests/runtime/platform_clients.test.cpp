#include "hornbeamgate/runtime/host_list_client.hpp"
#include "hornbeamgate/runtime/weight_store_client.hpp"

#include "base/amplifying_texts.hpp"
#include "base/memory_limit.hpp"
#include "runtime/platform_fixture.hpp"

#include <doctest/doctest.h>

#include <optional>

using namespace hornbeamgate;
using namespace hornbeamgate::testing;

namespace {

HostListEvent firstHostList(const SocketAddress& address, Duration wait = kDefaultTimeout)
{
    std::optional<HostListEvent> event;
    const HostListClient client({ .address = address, .readTimeout = wait },
        [&](const HostListEvent& next) { event = event.value_or(next); });
    REQUIRE(runUntil([&] { return event.has_value(); }));
    return *event;
}

Result<void, WeightStoreError> checkWeights(const SocketAddress& address, const ModelId& model, Duration wait = kDefaultTimeout)
{
    WeightStoreClient client(address);
    std::optional<Result<void, WeightStoreError>> answer;
    client.check(model, WeightsVersion(3), MonotonicClock::now() + wait,
        [&](auto result) { answer = std::move(result); });
    REQUIRE(runUntil([&] { return answer.has_value(); }));
    return *answer;
}

const char* const kHost = R"({"host":"agent-1","address":"127.0.0.1:7101","data_center":"postojna","region":"notranjska","role":"agent"})";

} // namespace

TEST_CASE("an HTTP error indicates whether the request may have been executed [runtime][http]")
{
    const Platform platform;
    const HttpRequest append { "POST", platform.address(), "/streams/s/records", "application/octet-stream", "x" };
    struct Case {
        const char* fault;
        HttpErrorKind kind;
    };
    for (const Case& row : { Case { R"({"fault":"lose_answer","target":"log"})", HttpErrorKind::ResponseLost },
             Case { R"({"fault":"drop","target":"log"})", HttpErrorKind::ResponseLost },
             Case { R"({"fault":"silent","target":"log"})", HttpErrorKind::DeadlinePassed } }) {
        CAPTURE(row.fault);
        injectFault(platform.address(), row.fault);
        const auto answer = sendRequest(append, MonotonicClock::now() + timeoutForFault(row.fault));
        REQUIRE_FALSE(answer);
        CHECK(answer.error().kind == row.kind);
    }
    auto nowhere = append;
    nowhere.address = unusedAddress();
    CHECK(sendRequest(nowhere, defaultDeadline()).error().kind == HttpErrorKind::NotConnected);
    nowhere.address.ip = "not an address";
    CHECK(sendRequest(nowhere, defaultDeadline()).error().kind == HttpErrorKind::NotConnected);
}

TEST_CASE("an append whose response was lost is in the log exactly once [runtime][http]")
{
    const Platform platform;
    const HttpRequest append { "POST", platform.address(), "/streams/s/records", "application/octet-stream", "x" };
    injectFault(platform.address(), R"({"fault":"lose_answer","target":"log"})");
    CHECK_FALSE(sendRequest(append, defaultDeadline()));
    const auto second = sendRequest(append, defaultDeadline());
    REQUIRE(second);
    CHECK(second->body == R"({"offset":1})");
}

TEST_CASE("a destroyed HTTP client does not call its callbacks [runtime][http]")
{
    const Platform platform;
    injectFault(platform.address(), R"({"fault":"slow","target":"log","delay_ms":20})");
    bool called = false;
    {
        HttpRequester client;
        client.send({ "GET", platform.address(), "/streams/s/records", "", "" }, defaultDeadline(), [&](const auto&) { called = true; });
    }
    REQUIRE(sendRequest({ "GET", platform.address(), "/hosts", "", "" }, defaultDeadline()));
    injectFault(platform.address(), R"({"fault":"slow","target":"hosts","delay_ms":50})");
    REQUIRE(sendRequest({ "GET", platform.address(), "/hosts", "", "" }, defaultDeadline()));
    CHECK_FALSE(called);
}

TEST_CASE("the host list is polled until it changes [runtime][host-list]")
{
    const Platform platform;
    std::vector<HostListEvent> events;
    const HostListClient client({ .address = platform.address(), .interval = std::chrono::milliseconds(5) },
        [&](const HostListEvent& event) { events.push_back(event); });
    REQUIRE(runUntil([&] { return !events.empty(); }));
    CHECK(std::get<HostListRead>(events.front()).hosts.empty());

    REQUIRE(sendRequest({ "POST", platform.address(), "/hosts", "application/json", kHost }, defaultDeadline())->status == 200);
    const auto listed = [&] {
        const auto* read = std::get_if<HostListRead>(&events.back());
        return read && !read->hosts.empty();
    };
    REQUIRE(runUntil(listed));
    CHECK(std::get<HostListRead>(events.back()).hosts.front()
        == ListedHost { HostId("agent-1"), { "127.0.0.1", 7101 }, DataCenterId("postojna"), RegionId("notranjska"),
            HostRole::Agent, HostState::Live });
}

TEST_CASE("an unreadable host list is reported as unreachable, not as empty [runtime][host-list]")
{
    const Platform platform;
    for (const char* fault : { "outage", "drop", "lose_answer", "silent" }) {
        CAPTURE(fault);
        injectFault(platform.address(), std::string(R"({"target":"hosts","fault":")") + fault + "\"}");
        CHECK(std::holds_alternative<HostListUnreachable>(firstHostList(platform.address(), timeoutForFault(fault))));
    }
    CHECK(std::holds_alternative<HostListUnreachable>(firstHostList(unusedAddress())));
    CHECK(std::holds_alternative<HostListRead>(firstHostList(platform.address())));
}

TEST_CASE("a host list with a malformed entry is rejected entirely [runtime][host-list]")
{
    const std::string good = R"({"host":"a","address":"10.0.0.1:1","data_center":"d","region":"r","role":"entry","state":"live"})";
    CHECK(parseHostList(R"({"hosts":[)" + good + "]}"));
    const std::vector<std::pair<std::string, std::string>> changes { { R"("a")", "7" }, { "10.0.0.1:1", "example.net:1" },
        { R"("d")", "null" }, { R"("r")", R"("")" }, { "entry", "store" }, { "live", "gone" }, { "}", "" } };
    for (const auto& [from, to] : changes) {
        std::string bad = good;
        bad.replace(bad.find(from), from.size(), to);
        CAPTURE(bad);
        std::string list = R"({"hosts":[)" + good;
        list.append(",").append(bad).append("]}");
        CHECK_FALSE(parseHostList(list));
    }
    for (const char* body : { "", "[]", "{}", R"({"hosts":{}})", R"({"hosts":[[]]})", "\xff" })
        CHECK_FALSE(parseHostList(body));
    constexpr std::size_t kMegabyte = std::size_t { 1024 } * 1024;
    for (const auto& body : amplifyingTexts(2 * kMegabyte))
        CHECK(succeedsWithin(32 * kMegabyte, [&] { return !parseHostList(body); }));
}

TEST_CASE("weight store errors distinguish rate limiting from unreachability [runtime][weights]")
{
    standins::PlatformOptions options;
    options.weightReadsPerSecond = 0.001;
    const Platform platform(options);
    CHECK(checkWeights(platform.address(), ModelId("karst/8b ?x")));
    const auto limited = checkWeights(platform.address(), ModelId("karst"));
    REQUIRE_FALSE(limited);
    CHECK(limited.error().kind == WeightStoreErrorKind::RateLimited);
    CHECK(limited.error().retryAt);

    for (const char* fault : { "outage", "drop", "silent" }) {
        CAPTURE(fault);
        injectFault(platform.address(), std::string(R"({"target":"weights","fault":")") + fault + "\"}");
        CHECK(checkWeights(platform.address(), ModelId("karst"), timeoutForFault(fault)).error().kind == WeightStoreErrorKind::Unreachable);
    }
}
