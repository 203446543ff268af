#include "hornbeamgate/runtime/platform_log_client.hpp"

#include "common/http_server.hpp"
#include "runtime/loop_support.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;
using hornbeamgate::testing::runUntil;

namespace {

/// Server that always sends the same response, or closes the connection if the status is 0.
class FixedServer {
public:
    FixedServer(unsigned status, std::string body)
        : m_status(status)
        , m_body(std::move(body))
    {
        auto server = standins::HttpServer::create(0, [this](standins::ExchangePtr exchange) { serve(*exchange); });
        REQUIRE(server);
        m_server.emplace(std::move(*server));
    }

    SocketAddress address() const { return { "127.0.0.1", m_server->port() }; }
    const std::string& lastBody() const { return m_lastBody; }

private:
    void serve(standins::Exchange& exchange)
    {
        m_lastBody = exchange.body();
        if (m_status == 0)
            exchange.drop();
        else
            exchange.answer(m_status, "application/json", m_body);
    }

    unsigned m_status;
    std::string m_body;
    std::string m_lastBody;
    std::optional<standins::HttpServer> m_server;
};

LogReadEvent read(const SocketAddress& address)
{
    PlatformLogClient client(address);
    std::optional<LogReadEvent> result;
    client.read("config", LogOffset(7), Duration::zero(), PlatformLogClient::kUsualTimeout, [&](LogReadEvent event) { result = std::move(event); });
    REQUIRE(runUntil([&] { return result.has_value(); }));
    return *result;
}

AppendEvent append(const SocketAddress& address)
{
    PlatformLogClient client(address);
    std::optional<AppendEvent> result;
    client.append({ AppendTicket(3), "config", { 0, 1, 255 } }, [&](const AppendEvent& event) { result = event; });
    REQUIRE(runUntil([&] { return result.has_value(); }));
    return *result;
}

} // namespace

TEST_CASE("every read response maps to records, trimmed or unreachable [log-client]")
{
    enum class Expected { Records,
        Trimmed,
        Unreachable };
    struct Case {
        unsigned status;
        std::string_view body;
        Expected expected;
    };
    const Case cases[] = {
        { 200, R"({"first":0,"next":9,"records":[{"offset":7,"data":"AAH/"},{"offset":8,"data":""}]})", Expected::Records },
        { 410, R"({"first":12})", Expected::Trimmed },
        { 410, "gone", Expected::Unreachable },
        { 503, "{}", Expected::Unreachable },
        { 200, "garbage", Expected::Unreachable },
        { 200, "\xff{}", Expected::Unreachable },
        { 200, R"({"next":-1,"records":[]})", Expected::Unreachable },
        { 200, R"({"next":9,"records":[{"offset":7}]})", Expected::Unreachable },
        { 200, R"({"next":9,"records":[{"offset":7,"data":"!!"}]})", Expected::Unreachable },
        { 200, R"({"next":9,"records":7})", Expected::Unreachable },
        { 0, "", Expected::Unreachable },
    };
    for (const auto& entry : cases) {
        CAPTURE(entry.body);
        const FixedServer server(entry.status, std::string(entry.body));
        const auto event = read(server.address());
        CHECK(std::holds_alternative<LogRecordsRead>(event) == (entry.expected == Expected::Records));
        CHECK(std::holds_alternative<LogTrimmed>(event) == (entry.expected == Expected::Trimmed));
        if (const auto* records = std::get_if<LogRecordsRead>(&event)) {
            CHECK(records->next == LogOffset(9));
            CHECK(records->records.at(0).data == Bytes { 0, 1, 255 });
        }
    }
    CHECK(std::holds_alternative<LogUnreachable>(read({ "127.0.0.1", 1 })));
}

TEST_CASE("an append is reported as refused only if the record is definitely not in the log [log-client]")
{
    enum class Expected { Succeeded,
        Refused,
        Unknown };
    struct Case {
        unsigned status;
        std::string_view body;
        Expected expected;
    };
    const Case cases[] = {
        { 200, R"({"offset":41})", Expected::Succeeded },
        { 429, "{}", Expected::Refused },
        { 503, "{}", Expected::Refused },
        { 200, "garbage", Expected::Unknown },
        { 200, R"({"offset":"x"})", Expected::Unknown },
        { 500, "{}", Expected::Unknown },
        { 0, "", Expected::Unknown },
    };
    for (const auto& entry : cases) {
        CAPTURE(entry.status);
        CAPTURE(entry.body);
        const FixedServer server(entry.status, std::string(entry.body));
        const auto event = append(server.address());
        CHECK(server.lastBody() == std::string("\0\1\xff", 3));
        CHECK(std::holds_alternative<AppendSucceeded>(event) == (entry.expected == Expected::Succeeded));
        CHECK(std::holds_alternative<AppendRefused>(event) == (entry.expected == Expected::Refused));
        std::visit([](const auto& outcome) { CHECK(outcome.ticket == AppendTicket(3)); }, event);
    }
    CHECK(std::holds_alternative<AppendRefused>(append({ "127.0.0.1", 1 })));
}
