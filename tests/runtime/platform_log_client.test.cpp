#include "hornbeamgate/runtime/platform_log_client.hpp"

#include "hornbeamgate/event_log/store_era.hpp"

#include "base/amplifying_texts.hpp"
#include "base/memory_limit.hpp"
#include "net/scripted_server.hpp"
#include "runtime/platform_fixture.hpp"

using namespace hornbeamgate;
using namespace hornbeamgate::testing;
using namespace std::chrono_literals;

namespace {

constexpr AppendTicket kTicket { 7 };

AppendEvent append(const SocketAddress& address, const Bytes& data)
{
    PlatformLogClient client(address);
    std::optional<AppendEvent> event;
    client.append({ kTicket, "bookings", data }, [&](const AppendEvent& outcome) { event = outcome; });
    REQUIRE(runUntil([&] { return event.has_value(); }));
    return *event;
}

LogReadEvent read(const SocketAddress& address, std::uint64_t from, Duration wait = Duration::zero())
{
    PlatformLogClient client(address);
    std::optional<LogReadEvent> event;
    client.read("bookings", LogOffset(from), wait, PlatformLogClient::kUsualTimeout, [&](LogReadEvent outcome) { event = std::move(outcome); });
    REQUIRE(runUntil([&] { return event.has_value(); }));
    return *event;
}

std::size_t recordCount(const SocketAddress& address)
{
    return std::get<LogRecordsRead>(read(address, 0)).records.size();
}

} // namespace

TEST_CASE("an append is reported as refused only if nothing was appended [runtime][log]")
{
    enum class Outcome { Refused,
        Unknown };
    struct Case {
        const char* fault;
        Outcome outcome;
        std::size_t appended;
    };
    for (const Case& row : { Case { R"({"fault":"outage","target":"log"})", Outcome::Refused, 0 },
             Case { R"({"fault":"drop","target":"log"})", Outcome::Unknown, 0 },
             Case { R"({"fault":"lose_answer","target":"log"})", Outcome::Unknown, 1 },
             Case { R"({"fault":"silent","target":"log"})", Outcome::Unknown, 0 } }) {
        CAPTURE(row.fault);
        const Platform platform;
        injectFault(platform.address(), row.fault);
        const auto event = append(platform.address(), { 1 });
        CHECK(std::holds_alternative<AppendRefused>(event) == (row.outcome == Outcome::Refused));
        CHECK(std::holds_alternative<AppendOutcomeUnknown>(event) == (row.outcome == Outcome::Unknown));
        CHECK(recordCount(platform.address()) == row.appended);
    }
    CHECK(std::holds_alternative<AppendRefused>(append(unusedAddress(), { 1 })));
}

TEST_CASE("appends over the rate limit of the log are refused and leave no record [runtime][log]")
{
    standins::PlatformOptions options;
    options.log.appendsPerSecond = 0.001;
    options.log.appendBurst = 2;
    const Platform platform(options);
    CHECK(std::holds_alternative<AppendSucceeded>(append(platform.address(), { 1 })));
    CHECK(std::holds_alternative<AppendSucceeded>(append(platform.address(), { 2 })));
    CHECK(std::holds_alternative<AppendRefused>(append(platform.address(), { 3 })));
    CHECK(recordCount(platform.address()) == 2);
}

TEST_CASE("records are read in order and unchanged [runtime][log]")
{
    const Platform platform;
    Bytes all(256);
    for (std::size_t i = 0; i < all.size(); ++i)
        all[i] = static_cast<std::uint8_t>(i);
    const std::vector<Bytes> appended { {}, { 0 }, all };
    for (const Bytes& data : appended)
        append(platform.address(), data);
    const auto records = std::get<LogRecordsRead>(read(platform.address(), 1));
    CHECK(records.next == LogOffset(3));
    REQUIRE(records.records.size() == 2);
    for (std::size_t i = 0; i < records.records.size(); ++i) {
        CHECK(records.records[i].offset == LogOffset(i + 1));
        CHECK(records.records[i].data == appended[i + 1]);
    }
}

TEST_CASE("a read before the first kept record reports the trimmed log [runtime][log]")
{
    standins::PlatformOptions options;
    options.log.keptRecords = 2;
    const Platform platform(options);
    for (std::uint8_t i = 0; i < 5; ++i)
        append(platform.address(), { i });
    CHECK(std::get<LogTrimmed>(read(platform.address(), 1)).first == LogOffset(3));
    CHECK(std::get<LogRecordsRead>(read(platform.address(), 3)).records.size() == 2);
}

TEST_CASE("a long-polling read returns when another client appends a record [runtime][log]")
{
    const Platform platform;
    PlatformLogClient reader(platform.address());
    std::optional<LogReadEvent> event;
    reader.read("bookings", LogOffset(0), std::chrono::seconds(10), PlatformLogClient::kUsualTimeout, [&](LogReadEvent outcome) { event = std::move(outcome); });
    append(platform.address(), { 9 });
    REQUIRE(runUntil([&] { return event.has_value(); }));
    CHECK(std::get<LogRecordsRead>(*event).records.front().data == Bytes { 9 });
}

TEST_CASE("an unreadable log is reported as unreachable, not as empty [runtime][log]")
{
    const Platform platform;
    append(platform.address(), { 1 });
    for (const char* fault : { "outage", "drop", "lose_answer" }) {
        CAPTURE(fault);
        injectFault(platform.address(), std::string(R"({"target":"log","fault":")") + fault + "\"}");
        CHECK(std::holds_alternative<LogUnreachable>(read(platform.address(), 0)));
    }
    CHECK(std::holds_alternative<LogUnreachable>(read(unusedAddress(), 0)));
}

TEST_CASE("malformed responses of the log are handled like missing ones [runtime][log]")
{
    const auto answer = [](std::uint16_t status, const std::string& body) -> Result<HttpResponse, HttpError> {
        return HttpResponse { status, "application/json", "", body };
    };
    for (const char* body : { "", "[]", "{}", R"({"next":1})", R"({"next":-1,"records":[]})", R"({"next":1,"records":{}})",
             R"({"next":1,"records":[{"offset":0,"data":"!"}]})", R"({"next":1,"records":[{"offset":"0","data":""}]})", "\xff" }) {
        CAPTURE(body);
        CHECK(std::holds_alternative<LogUnreachable>(parseLogRead(LogOffset(0), answer(200, body))));
        CHECK(std::holds_alternative<LogUnreachable>(parseLogRead(LogOffset(0), answer(410, body))));
        CHECK(std::holds_alternative<AppendOutcomeUnknown>(parseAppend(kTicket, answer(200, body))));
    }
    // Answers that would take many times their size as documents.
    constexpr std::size_t kMegabyte = std::size_t { 1024 } * 1024;
    for (const auto& body : amplifyingTexts(2 * kMegabyte)) {
        CAPTURE(body.substr(0, 16));
        CHECK(succeedsWithin(48 * kMegabyte, [&] { return std::holds_alternative<LogUnreachable>(parseLogRead(LogOffset(0), answer(200, body))); }));
        CHECK(succeedsWithin(48 * kMegabyte, [&] { return std::holds_alternative<AppendOutcomeUnknown>(parseAppend(kTicket, answer(200, body))); }));
    }
    CHECK(std::holds_alternative<AppendOutcomeUnknown>(parseAppend(kTicket, answer(500, ""))));
}

TEST_CASE("records that the log gives out again after a return from an older copy are not taken for those read before [runtime][log]")
{
    const auto answer = [](const std::string& body, std::uint16_t status = 200) -> Result<HttpResponse, HttpError> {
        return HttpResponse { status, "application/json", "", body };
    };
    const auto before = positionInEra(StoreEra(3), 9);
    const std::string page = R"("next":10,"records":[{"offset":9,"data":""}]})";
    const auto read = parseLogRead(before, answer(R"({"era":3,)" + page));
    CHECK(std::get<LogRecordsRead>(read).records.front().offset == before);
    CHECK(std::get<LogRecordsRead>(read).next == before.next());
    const auto restarted = parseLogRead(before, answer(R"({"era":4,)" + page));
    CHECK(std::get<LogRestarted>(restarted).first == positionInEra(StoreEra(4), 0));
    CHECK(std::holds_alternative<LogRestarted>(parseLogRead(before, answer(R"({"era":4,"first":2})", 410))));
    CHECK(std::get<LogTrimmed>(parseLogRead(before, answer(R"({"era":3,"first":20})", 410))).first == positionInEra(StoreEra(3), 20));
    // An answer that was sent before the return.
    CHECK(std::holds_alternative<LogUnreachable>(parseLogRead(before, answer(R"({"era":2,)" + page))));
    CHECK(std::get<AppendSucceeded>(parseAppend(kTicket, answer(R"({"era":4,"offset":9})"))).offset == positionInEra(StoreEra(4), 9));
}

// Guards against records and positions that the log did not give.
TEST_CASE("an invalid response of the log is handled like a missing one [runtime][log]")
{
    const std::string record = "\r\n"
                               R"({"offset":1})";
    const std::string page = "\r\n"
                             R"({"first":0,"next":0,"records":[]})";
    for (const std::string start : { "HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nX Name: v\r\n", "HTTP/1.1 200 OK\r\nX\x01Name: v\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n" }) {
        CAPTURE(start);
        gateway::testing::ScriptedServer server;
        PlatformLogClient client(server.address());
        std::optional<LogReadEvent> read;
        client.read("s", LogOffset(0), 0ms, 10s, [&](LogReadEvent event) { read = std::move(event); });
        server.waitFor(0, "GET /streams/s/records");
        server.send(0, start + page);
        server.finish(0);
        REQUIRE(runUntil([&] { return read.has_value(); }));
        CHECK(std::holds_alternative<LogUnreachable>(*read));
        std::optional<AppendEvent> appended;
        client.append({ AppendTicket(1), "s", {} }, [&](const AppendEvent& event) { appended = event; });
        server.waitFor(1, "POST /streams/s/records");
        server.send(1, start + record);
        server.finish(1);
        REQUIRE(runUntil([&] { return appended.has_value(); }));
        CHECK(std::holds_alternative<AppendOutcomeUnknown>(*appended));
    }
}
