// Two gateways in front of three engines that are full. SIGHUP reaches the daemons a few times. Checks rule BUDGET: the
// arrivals beyond the first of each request.

#include "harness.hpp"

#include <algorithm>

using namespace review;

int main(int argc, char** argv)
{
    if (argc < 4)
        return 2;
    const std::string program = argv[1];
    const std::string folder = argv[2];
    Record record(argv[3]);
    const bool hasTrouble = !std::getenv("TROUBLE") || std::string(std::getenv("TROUBLE")) != "0";
    constexpr long kWindow = 10000;
    constexpr double kRatio = 0.2;
    constexpr double kSlack = 56;
    record.line(hasTrouble ? "with SIGHUP" : "without SIGHUP");

    Store store(record);
    store.put("keyed.op", "config", configText(routeText("read", "reader", "safe", 3000, 3, false), R"({"name":"reader","health-path":"/health","max-connections":110,"protocol":"h1","tls":false})"));

    std::mutex mutex;
    std::vector<std::pair<long, std::string>> arrivals;
    std::atomic<int> running[3] {};
    std::vector<std::unique_ptr<Engine>> engines;
    const auto run = [&](Engine& engine, Connection& connection, const Message& message) {
        const auto id = message.field("X-Hornbeamgate-Request-Id");
        if (id.empty())
            return connection.send(httpAnswer(404, {}));
        {
            const std::lock_guard lock(mutex);
            arrivals.emplace_back(record.now(), id);
        }
        auto& own = running[engine.id().back() - '1'];
        const auto echo = "X-Hornbeamgate-Request-Id: " + id + "\r\n";
        if (++own > 6) {
            --own;
            return connection.send(httpAnswer(503, {}, echo + "X-Hornbeamgate-Not-Executed: 1\r\n"));
        }
        std::this_thread::sleep_for(milliseconds(60));
        --own;
        return connection.send(httpAnswer(200, "ok", echo + "X-Hornbeamgate-Server-Signature: s\r\n"));
    };
    for (const auto* id : { "r-1", "r-2", "r-3" })
        engines.push_back(std::make_unique<Engine>(store, id, "reader", "", run));

    Gateway first(program, folder, "front-1", store.address());
    Gateway second(program, folder, "front-2", store.address());
    for (auto* gateway : { &first, &second }) {
        gateway->writeSettings({});
        gateway->start();
    }
    if (!first.waitUntilReady() || !second.waitUntilReady())
        finish(2, { &first, &second });
    std::this_thread::sleep_for(milliseconds(5000));

    std::vector<long> sent;
    std::map<int, int> statuses;
    const auto start = Clock::now();
    int hups = 0;
    for (int tick = 0; Clock::now() < start + std::chrono::seconds(25); ++tick) {
        auto& gateway = tick % 2 == 0 ? first : second;
        {
            const std::lock_guard lock(mutex);
            sent.push_back(record.now());
        }
        std::thread([&, tick] {
            auto connection = Connection::open(gateway.port());
            if (!connection)
                return;
            char id[32];
            std::snprintf(id, sizeof id, "a%08x", tick);
            connection->send("GET /read/x HTTP/1.1\r\nHost: h.example\r\nX-Hornbeamgate-Request-Id: " + std::string(id) + "\r\nX-Hornbeamgate-Deadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\nConnection: close\r\n\r\n");
            const auto answer = connection->read(Clock::now() + std::chrono::seconds(4));
            const std::lock_guard lock(mutex);
            ++statuses[answer ? answer->status() : 0];
        }).detach();
        if (hasTrouble && tick % 440 == 439) {
            ++hups;
            record.line("SIGHUP");
            first.signal(SIGHUP);
            second.signal(SIGHUP);
        }
        std::this_thread::sleep_until(start + std::chrono::microseconds(2270L * (tick + 1)));
    }
    std::this_thread::sleep_for(milliseconds(3500));

    const std::lock_guard lock(mutex);
    std::set<std::string> seen;
    std::vector<long> repeats;
    for (const auto& [at, id] : arrivals) {
        if (!seen.insert(id).second)
            repeats.push_back(at);
    }
    const auto within = [](const std::vector<long>& times, long from, long to) {
        return std::lower_bound(times.begin(), times.end(), to) - std::lower_bound(times.begin(), times.end(), from);
    };
    double worst = -1e9;
    std::string text;
    for (const auto from : repeats) {
        const auto count = within(repeats, from, from + kWindow);
        const auto requests = std::max({ within(sent, from, from + kWindow), within(sent, from - kWindow, from), within(sent, from - kWindow / 2, from + kWindow / 2) });
        const double bound = kRatio * static_cast<double>(requests) + kSlack;
        if (static_cast<double>(count) - bound > worst) {
            worst = static_cast<double>(count) - bound;
            text = "repeats from " + std::to_string(from) + ": " + std::to_string(count) + ", requests " + std::to_string(requests) + ", allowed " + std::to_string(bound);
        }
    }
    for (const auto& [status, count] : statuses)
        record.line("answers with status " + std::to_string(status) + ": " + std::to_string(count));
    record.line("SIGHUPs " + std::to_string(hups) + ", arrivals " + std::to_string(arrivals.size()) + ", repeats " + std::to_string(repeats.size()));
    record.line("worst window: " + text);
    finish(worst > 0 ? 1 : 0, { &first, &second });
}
