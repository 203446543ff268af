// One gateway. The grace period in the settings grows while the daemon runs; later the machine gets SIGTERM. Checks rule
// LOST: requests that were passed on to an engine and whose connections end without a complete answer.

#include "harness.hpp"

using namespace review;

int main(int argc, char** argv)
{
    if (argc < 4)
        return 2;
    const std::string program = argv[1];
    const std::string folder = argv[2];
    Record record(argv[3]);
    const bool hasTrouble = !std::getenv("TROUBLE") || std::string(std::getenv("TROUBLE")) != "0";
    constexpr long kGraceBefore = 8;
    constexpr long kGrace = 20;
    constexpr long kWork = 6000;
    record.line(hasTrouble ? "the settings change while the daemon runs" : "the daemon starts with the same settings");

    Store store(record);
    store.put("keyed.op", "config", configText(routeText("book", "desk", "unsafe", 10000, 1, false), R"({"name":"desk","health-path":"/health","max-connections":110,"protocol":"h1","tls":false})"));

    struct Run {
        long begun = 0;
        long ended = 0;
    };
    std::mutex mutex;
    std::map<std::string, Run> runs;
    const auto run = [&](Engine& engine, Connection& connection, const Message& message) {
        const auto id = message.field("X-Hornbeamgate-Request-Id");
        if (id.empty())
            return connection.send(httpAnswer(404, {}));
        {
            const std::lock_guard lock(mutex);
            runs[id].begun = record.now();
        }
        record.line(engine.id() + " begins booking " + id);
        std::this_thread::sleep_for(milliseconds(kWork));
        {
            const std::lock_guard lock(mutex);
            runs[id].ended = record.now();
        }
        record.line(engine.id() + " has made booking " + id);
        return connection.send(httpAnswer(200, "booked " + id, "X-Hornbeamgate-Request-Id: " + id + "\r\nX-Hornbeamgate-Server-Signature: sig-" + engine.id() + "\r\n"));
    };
    std::vector<std::unique_ptr<Engine>> engines;
    for (const auto* id : { "i-1", "i-2" })
        engines.push_back(std::make_unique<Engine>(store, id, "desk", "", run));

    Gateway gateway(program, folder, "front-1", store.address());
    gateway.writeSettings({ .grace = hasTrouble ? kGraceBefore : kGrace });
    gateway.start();
    if (!gateway.waitUntilReady()) {
        record.line("the gateway did not become ready");
        finish(2, { &gateway });
    }
    std::this_thread::sleep_for(milliseconds(3000));
    if (hasTrouble) {
        gateway.writeSettings({ .grace = kGrace });
        record.line("the grace period in the settings is now " + std::to_string(kGrace) + " s");
    }
    std::this_thread::sleep_for(milliseconds(8000));

    struct Outcome {
        long sent = 0;
        long ended = 0;
        int status = 0; ///< 0 if the connection ended without an answer
        bool isComplete = false;
    };
    std::map<std::string, Outcome> outcomes;
    // The bookings arrive from two seconds before SIGTERM until two seconds after it, while new connections still come.
    const auto begin = Clock::now();
    const auto client = [&](int number) {
        std::this_thread::sleep_until(begin + milliseconds(100 * number));
        auto connection = Connection::open(gateway.port());
        if (!connection)
            return;
        char id[32];
        std::snprintf(id, sizeof id, "b%08x", number);
        Outcome outcome;
        outcome.sent = record.now();
        record.line("booking " + std::string(id) + " is sent");
        connection->send("POST /book/slot HTTP/1.1\r\nHost: h.example\r\nX-Hornbeamgate-Request-Id: " + std::string(id) + "\r\nX-Hornbeamgate-Deadline-Ms: 10000\r\nAuthorization: Bearer key-1\r\nContent-Length: 2\r\n\r\nhi");
        const auto answer = connection->read(Clock::now() + std::chrono::seconds(12));
        outcome.ended = record.now();
        outcome.status = answer ? answer->status() : 0;
        outcome.isComplete = answer && answer->isComplete;
        record.line("client of booking " + std::string(id) + (outcome.isComplete ? " gets " + std::to_string(outcome.status) : " loses its connection without an answer"));
        const std::lock_guard lock(mutex);
        outcomes[id] = outcome;
    };
    std::vector<std::thread> clients;
    constexpr int kBookings = 40;
    clients.reserve(kBookings);
    for (int number = 0; number < kBookings; ++number)
        clients.emplace_back(client, number);
    std::this_thread::sleep_until(begin + milliseconds(2000));
    const auto stoppedAt = record.now();
    gateway.signal(SIGTERM);
    record.line("SIGTERM");
    bool hasEnded = false;
    for (int i = 0; i < kGrace * 20 && !hasEnded; ++i) {
        std::this_thread::sleep_for(milliseconds(50));
        hasEnded = waitpid(gateway.process(), nullptr, WNOHANG) != 0;
    }
    record.line(hasEnded ? "the daemon has ended, " + std::to_string(record.now() - stoppedAt) + " ms after SIGTERM" : "SIGKILL");
    if (!hasEnded)
        gateway.stop(SIGKILL);
    for (auto& thread : clients)
        thread.join();
    // The engines end what they have begun.
    std::this_thread::sleep_for(milliseconds(kWork));

    const std::lock_guard lock(mutex);
    int lost = 0;
    int answered = 0;
    for (const auto& [id, outcome] : outcomes) {
        answered += outcome.isComplete && outcome.status == 200 ? 1 : 0;
        if (outcome.isComplete || !runs.contains(id))
            continue;
        // An engine that is still at work in the last sixth of the grace period is an excuse.
        const auto& made = runs.at(id);
        const bool isExcused = made.ended == 0 || made.ended > stoppedAt + kGrace * 1000 * 5 / 6;
        lost += isExcused ? 0 : 1;
    }
    record.line("bookings answered: " + std::to_string(answered) + ", made by an engine and lost: " + std::to_string(lost) + " (allowed: 0)");
    if (answered == 0)
        _exit(2);
    _exit(lost > 0 ? 1 : 0);
}
