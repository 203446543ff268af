// Two gateways, six engines. One part of a prompt crashes each engine that begins to write an answer on it. Checks rule
// BUDGET: how many requests with that part reach engines later than `contact-ms` after the fifth crash.

#include "harness.hpp"

using namespace review;

namespace {

constexpr const char* kDeadlyPart = "dead0001";
constexpr long kContact = 4000;

struct Shape {
    bool isEventWritten; ///< the engine writes its first event before it ends
    int otherParts; ///< parts that each prompt has beside the deadly one and its own
};

std::string prompt(const Shape& shape, bool isDeadly, int number)
{
    std::string text = isDeadly ? std::string(kDeadlyPart) + ":20," : "5afe0001:20,";
    char part[32];
    for (int i = 0; i < shape.otherParts; ++i) {
        std::snprintf(part, sizeof part, "ab%06x:20,", i);
        text += part;
    }
    std::snprintf(part, sizeof part, "c0%06x:40", number);
    return text + part;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 5)
        return 2;
    const std::string program = argv[1];
    const std::string folder = argv[2];
    Record record(argv[3]);
    const std::string kind = argv[4];
    const Shape shape = kind == "after-event" ? Shape { true, 2 } : kind == "many-parts" ? Shape { false, 17 }
                                                                                         : Shape { false, 2 };
    const bool hasTrouble = !std::getenv("TROUBLE") || std::string(std::getenv("TROUBLE")) != "0";
    record.line(hasTrouble ? "with a part that crashes engines" : "no part crashes engines");

    Store store(record);
    store.put("keyed.op", "config", configText(routeText("chat", "s", "streaming", 8000, 2, true), R"({"name":"s","health-path":"/health","max-connections":180,"protocol":"h1","tls":false,"engine":{"slots":16,"kv-capacity-tokens":159399,"models":[{"name":"m"}]}})"));
    store.put("keyed.op", "version/m", R"({"model":"m","version":1})");

    std::mutex mutex;
    std::vector<long> crashes;
    std::vector<long> deadlyArrivals;
    std::vector<std::unique_ptr<Engine>> engines;
    const auto run = [&](Engine& engine, Connection& connection, const Message& message) {
        if (isReport(message))
            return connection.send(httpAnswer(200, "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":0,\"kv-used\":0,\"kv-total\":159399,\"handles\":0}", "Content-Type: application/json\r\n"));
        const auto id = message.field("X-Hornbeamgate-Request-Id");
        if (id.empty())
            return connection.send(httpAnswer(404, {}));
        const bool isDeadly = message.field("X-Hornbeamgate-Prompt-Prefix").find(kDeadlyPart) != std::string::npos;
        if (isDeadly) {
            const std::lock_guard lock(mutex);
            deadlyArrivals.push_back(record.now());
            record.line("DEADLY request " + id + " reaches " + engine.id() + " last-event-id '" + message.field("Last-Event-Id") + '\'');
        } else
            record.line("request " + id + " reaches " + engine.id());
        std::this_thread::sleep_for(milliseconds(20));
        const auto lastId = message.field("Last-Event-Id");
        const int firstEvent = lastId.empty() ? 0 : std::atoi(lastId.c_str()) + 1;
        const auto event = [](int number) { return chunk("id: " + std::to_string(number) + "\ndata: t\n\n"); };
        connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Hornbeamgate-Request-Id: " + id
            + "\r\nX-Hornbeamgate-Server-Signature: sig-" + engine.id() + "\r\nX-Hornbeamgate-Weight-Versions: 1\r\n\r\n");
        if (isDeadly && hasTrouble) {
            if (shape.isEventWritten)
                connection.send(event(firstEvent));
            std::this_thread::sleep_for(milliseconds(5));
            {
                const std::lock_guard lock(mutex);
                crashes.push_back(record.now());
            }
            record.line(engine.id() + " crashes");
            engine.crash(milliseconds(3000));
            return false;
        }
        for (int i = firstEvent; i < 8; ++i) {
            std::this_thread::sleep_for(milliseconds(10));
            if (!connection.send(event(i)))
                return false;
        }
        return connection.send("0\r\n\r\n");
    };
    for (int i = 1; i <= 8; ++i)
        engines.push_back(std::make_unique<Engine>(store, "i-" + std::to_string(i), "s", "m", run));

    Gateway first(program, folder, "front-1", store.address());
    Gateway second(program, folder, "front-2", store.address());
    for (auto* gateway : { &first, &second }) {
        gateway->writeSettings({});
        gateway->start();
    }
    if (!first.waitUntilReady() || !second.waitUntilReady()) {
        record.line("a gateway did not become ready");
        finish(2, { &first, &second });
    }
    std::this_thread::sleep_for(milliseconds(5000));

    std::atomic<int> served { 0 };
    std::atomic<int> sent { 0 };
    std::map<int, int> statuses;
    const auto request = [&](Gateway& gateway, bool isDeadly, int number) {
        auto connection = Connection::open(gateway.port());
        if (!connection)
            return;
        char id[32];
        std::snprintf(id, sizeof id, "%s%08x", isDeadly ? "d" : "5", number);
        record.line(std::string(isDeadly ? "DEADLY " : "") + "request " + id + " is sent to " + gateway.host());
        connection->send("POST /chat/ask HTTP/1.1\r\nHost: h.example\r\nX-Hornbeamgate-Request-Id: " + std::string(id) + "\r\nX-Hornbeamgate-Model: m\r\nX-Hornbeamgate-Token-Usage: 400,8\r\nX-Hornbeamgate-Prompt-Prefix: "
            + prompt(shape, isDeadly, number) + "\r\nX-Hornbeamgate-Deadline-Ms: 8000\r\nAuthorization: Bearer key-1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi");
        const auto answer = connection->read(Clock::now() + std::chrono::seconds(9));
        const int status = answer ? (answer->isComplete ? answer->status() : -answer->status()) : 0;
        record.line(std::string(isDeadly ? "DEADLY " : "") + "client of " + std::string(id) + " at " + gateway.host() + " has status " + std::to_string(std::abs(status)) + (status < 0 ? ", broken off" : ""));
        if (isDeadly)
            return;
        ++sent;
        served += status == 200 ? 1 : 0;
        const std::lock_guard lock(mutex);
        ++statuses[status];
    };
    const auto end = Clock::now() + std::chrono::seconds(40);
    for (int tick = 0; Clock::now() < end; ++tick) {
        auto& gateway = tick % 2 == 0 ? first : second;
        std::thread([&request, &gateway, tick] { request(gateway, false, tick); }).detach();
        // One in ten requests has the part; two of these in a row come at different machines.
        if (tick % 10 == 9) {
            auto& other = tick / 10 % 2 == 0 ? first : second;
            std::thread([&request, &other, tick] { request(other, true, tick); }).detach();
        }
        std::this_thread::sleep_for(milliseconds(100));
    }
    std::this_thread::sleep_for(milliseconds(2000));

    const std::lock_guard lock(mutex);
    for (const auto& [status, count] : statuses)
        record.line("sound requests with status " + std::to_string(status) + ": " + std::to_string(count));
    record.line("crashes " + std::to_string(crashes.size()) + ", requests with the part that reached engines " + std::to_string(deadlyArrivals.size()) + ", sound requests served " + std::to_string(served) + " of " + std::to_string(sent));
    if (served == 0)
        finish(2, { &first, &second });
    if (crashes.size() < 5) {
        record.line("fewer than five crashes");
        finish(0, { &first, &second });
    }
    int late = 0;
    for (const auto at : deadlyArrivals)
        late += at > crashes[4] + kContact ? 1 : 0;
    record.line("the fifth crash was at " + std::to_string(crashes[4]) + "; requests with the part that reached engines more than " + std::to_string(kContact) + " ms later: " + std::to_string(late) + " (allowed: 3)");
    finish(late > 3 ? 1 : 0, { &first, &second });
}
