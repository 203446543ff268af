#include "hornbeamgate/runtime/net/memory_account.hpp"
#include "hornbeamgate/runtime/net/http_acceptor.hpp"
#include "runtime/loop_support.hpp"

#include <doctest/doctest.h>

using namespace hornbeamgate;
using namespace hornbeamgate::gateway;
using hornbeamgate::testing::runUntil;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kLimit = 1000;

struct Holder : MemoryHolder {
    Holder(MemoryAccount& account, std::size_t bytes, std::optional<Duration> stalledFor)
        : share(&account, *this)
        , stalled(stalledFor)
    {
        share.set(bytes);
    }

    std::optional<MonotonicTime> stalledSince() const override { return stalled ? std::optional(MonotonicClock::now() - *stalled) : std::nullopt; }
    void closeForMemory() override
    {
        isClosed = true;
        share.set(0);
    }

    MemoryShare share;
    std::optional<Duration> stalled; ///< none: the connection waits for an engine
    bool isClosed = false;
};

} // namespace

// Guards against closing requests that wait for an engine or whose clients are active.
TEST_CASE("the holder of most for longest without progress is closed first, and no other than necessary [memory]")
{
    MemoryAccount account(kLimit, {});
    const Holder waiting(account, 400, std::nullopt);
    const Holder active(account, 300, 500ms);
    const Holder shortStall(account, 300, 2s);
    const Holder longStall(account, 100, 20s);
    const Holder current(account, 50, std::nullopt);
    CHECK(account.makeRoom(&current.share, MonotonicClock::now()));
    CHECK(longStall.isClosed);
    CHECK(shortStall.isClosed);
    CHECK_FALSE(waiting.isClosed);
    CHECK_FALSE(active.isClosed);
    CHECK(account.used() == 750);
}

TEST_CASE("there is no room while every holder makes progress or waits for an engine [memory]")
{
    MemoryAccount account(kLimit, {});
    const Holder waiting(account, 900, std::nullopt);
    const Holder active(account, 200, 10ms);
    CHECK_FALSE(account.makeRoom(nullptr, MonotonicClock::now()));
    CHECK_FALSE(active.isClosed);
}

// Guards against a refusal with 503 of a request that has run.
TEST_CASE("a request is refused with 503 before its body is read and before its handler exists [memory]")
{
    MemoryAccount account(20000, {});
    const Holder busy(account, 20000, std::nullopt);
    int accepted = 0;
    HttpAcceptor::Service service;
    service.accept = respondImmediately([&](const HttpRequestMessage&) -> HttpSimpleResponse {
        ++accepted;
        return {};
    });
    service.memory = &account;
    auto acceptor = HttpAcceptor::create({ "127.0.0.1", 0 }, std::move(service));
    REQUIRE(acceptor);
    for (const auto* body : { "Expect: 100-continue\r\nContent-Length: 4000000\r\n\r\n", "Content-Length: 2\r\n\r\nhi", "\r\n" }) {
        auto client = TcpStream::connect((*acceptor)->address(), MonotonicClock::now() + 5s);
        REQUIRE(client);
        std::string received;
        bool hasEnded = false;
        (*client)->setHandlers({ {}, [&](std::string_view octets) { received += octets; }, [&](StreamEnd, const std::string&) { hasEnded = true; } });
        (*client)->send(std::string("POST / HTTP/1.1\r\n") + body);
        REQUIRE(runUntil([&] { return hasEnded; }));
        CHECK(received.starts_with("HTTP/1.1 503 "));
        CHECK(received.find("Retry-After: ") != std::string::npos);
    }
    CHECK(accepted == 0);
}

// Guards against a connection limit that locks out new clients while idle connections use it up.
TEST_CASE("a new connection replaces one without progress when all are in use, and is refused otherwise [memory]")
{
    MemoryAccount account(1000000, {});
    HttpAcceptor::Service service;
    service.accept = respondImmediately([](const HttpRequestMessage&) { return HttpSimpleResponse {}; });
    service.memory = &account;
    service.maxConnections = [] { return 1U; };
    auto acceptor = HttpAcceptor::create({ "127.0.0.1", 0 }, std::move(service));
    REQUIRE(acceptor);
    auto idle = TcpStream::connect((*acceptor)->address(), MonotonicClock::now() + 5s);
    REQUIRE(idle);
    bool hasIdleEnded = false;
    (*idle)->setHandlers({ {}, [](std::string_view) {}, [&](StreamEnd, const std::string&) { hasIdleEnded = true; } });
    REQUIRE(runUntil([&] { return (*acceptor)->connections() == 1; }));
    int refusals = 0;
    std::string received;
    while (!received.starts_with("HTTP/1.1 200 ")) {
        received.clear();
        bool hasEnded = false;
        auto client = TcpStream::connect((*acceptor)->address(), MonotonicClock::now() + 5s);
        REQUIRE(client);
        (*client)->setHandlers({ {}, [&](std::string_view octets) { received += octets; }, [&](StreamEnd, const std::string&) { hasEnded = true; } });
        (*client)->send("GET / HTTP/1.1\r\n\r\n");
        REQUIRE(runUntil([&] { return hasEnded || !received.empty(); }));
        refusals += received.starts_with("HTTP/1.1 200 ") ? 0 : 1;
        hornbeamgate::testing::runFor(20ms);
    }
    CHECK(refusals > 0);
    CHECK(hasIdleEnded);
}
