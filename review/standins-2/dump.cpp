// One gateway, two engines, ten clients on kept connections. Another writer writes an entry under a key that is no UTF-8;
// then the operator reads the gateway's dump. Checks rule LOST: requests that were passed on and are never answered.

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
    record.line(hasTrouble ? "with an entry of another writer" : "without an entry of another writer");

    Store store(record);
    store.put("keyed.op", "config", configText(routeText("book", "desk", "unsafe", 3000, 1, false), R"({"name":"desk","health-path":"/health","max-connections":110,"protocol":"h1","tls":false})"));

    std::mutex mutex;
    std::set<std::string> reached;
    const auto run = [&](Engine& engine, Connection& connection, const Message& message) {
        const auto id = message.field("X-Hornbeamgate-Request-Id");
        if (id.empty())
            return connection.send(httpAnswer(404, {}));
        {
            const std::lock_guard lock(mutex);
            reached.insert(id);
        }
        record.line("booking " + id + " runs at " + engine.id());
        std::this_thread::sleep_for(milliseconds(300));
        return connection.send(httpAnswer(200, "booked", "X-Hornbeamgate-Request-Id: " + id + "\r\nX-Hornbeamgate-Server-Signature: sig-" + engine.id() + "\r\n"));
    };
    std::vector<std::unique_ptr<Engine>> engines;
    for (const auto* id : { "i-1", "i-2" })
        engines.push_back(std::make_unique<Engine>(store, id, "desk", "", run));

    Gateway gateway(program, folder, "front-1", store.address());
    gateway.writeSettings({});
    gateway.start();
    if (!gateway.waitUntilReady()) {
        record.line("the gateway did not become ready");
        finish(2, { &gateway });
    }
    std::this_thread::sleep_for(milliseconds(5000));

    std::atomic<bool> isOver { false };
    std::atomic<int> answered { 0 };
    std::vector<std::string> lost;
    const auto client = [&](int number) {
        const auto connection = Connection::open(gateway.port());
        for (int i = 0; connection && !isOver; ++i) {
            char id[32];
            std::snprintf(id, sizeof id, "b%02x%06x", static_cast<unsigned>(number), static_cast<unsigned>(i));
            record.line("booking " + std::string(id) + " is sent");
            connection->send("POST /book/slot HTTP/1.1\r\nHost: h.example\r\nX-Hornbeamgate-Request-Id: " + std::string(id) + "\r\nX-Hornbeamgate-Deadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\nContent-Length: 2\r\n\r\nhi");
            const auto answer = connection->read(Clock::now() + std::chrono::seconds(4));
            if (answer && answer->isComplete) {
                ++answered;
                record.line("client of " + std::string(id) + " gets " + std::to_string(answer->status()));
                continue;
            }
            record.line("client of " + std::string(id) + " loses its connection without an answer");
            const std::lock_guard lock(mutex);
            // The first request of a connection is not one on a kept connection.
            if (i > 0 && reached.contains(id))
                lost.emplace_back(id);
            return;
        }
    };
    constexpr int kClients = 10;
    std::vector<std::thread> clients;
    clients.reserve(kClients);
    for (int number = 0; number < kClients; ++number)
        clients.emplace_back(client, number);
    std::this_thread::sleep_for(milliseconds(3000));
    if (hasTrouble) {
        store.put("keyed.servers", "i-\xff\xfe", R"({"service":"desk","address":"127.0.0.1:9","zone":"z2","version":"v1","slots":16,"state":"draining","cold-remaining-ms":0,"sequence":4,"born":1})");
        record.line("another writer writes an entry under the key 69 2d ff fe (hexadecimal)");
    }
    std::this_thread::sleep_for(milliseconds(3000));
    int dumpStatus = 0;
    if (const auto connection = Connection::open(gateway.adminPort())) {
        connection->send("GET /dump HTTP/1.1\r\nHost: admin\r\nConnection: close\r\n\r\n");
        const auto answer = connection->read(Clock::now() + std::chrono::seconds(2));
        dumpStatus = answer ? answer->status() : 0;
    }
    record.line("the operator reads /dump: " + (dumpStatus ? "status " + std::to_string(dumpStatus) : std::string("the connection ends without an answer")));
    std::this_thread::sleep_for(milliseconds(1000));
    const bool isRunning = gateway.isRunning();
    isOver = true;
    for (auto& thread : clients)
        thread.join();

    record.line(std::string("the process ") + (isRunning ? "runs" : "has ended by itself"));
    record.line("bookings answered: " + std::to_string(answered) + ", on kept connections passed on and never answered: " + std::to_string(lost.size()) + " (allowed: 3)");
    if (answered == 0)
        finish(2, { &gateway });
    finish(lost.size() > 3 ? 1 : 0, { &gateway });
}
