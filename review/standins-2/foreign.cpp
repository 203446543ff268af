// One gateway, two services with two engines each. Another writer writes one entry without some of its fields under the id
// of an engine. Checks rule ROUTE: which service runs the requests of each route.

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
    store.put("keyed.op", "config", configText(routeText("read", "reader", "safe", 3000, 2, false) + ',' + routeText("book", "desk", "unsafe", 3000, 1, false), R"({"name":"reader","health-path":"/health","max-connections":110,"protocol":"h1","tls":false},{"name":"desk","health-path":"/health","max-connections":110,"protocol":"h1","tls":false})"));

    std::mutex mutex;
    std::map<std::string, int> runs; ///< by route and service
    const auto run = [&](Engine& engine, Connection& connection, const Message& message) {
        const auto id = message.field("X-Hornbeamgate-Request-Id");
        if (id.empty())
            return connection.send(httpAnswer(404, {}));
        const auto route = message.target().substr(1, 4);
        {
            const std::lock_guard lock(mutex);
            ++runs[route + " at " + engine.service()];
        }
        const bool isForeign = (route == "read") != (engine.service() == "reader");
        record.line(std::string(isForeign ? "FOREIGN " : "") + "request " + id + ' ' + message.method() + ' ' + message.target() + " runs at " + engine.id() + " of service " + engine.service());
        std::this_thread::sleep_for(milliseconds(20));
        return connection.send(httpAnswer(200, "made by " + engine.service(), "X-Hornbeamgate-Request-Id: " + id + "\r\nX-Hornbeamgate-Server-Signature: sig-" + engine.id() + "\r\n"));
    };
    std::vector<std::unique_ptr<Engine>> engines;
    for (const auto* id : { "i-1", "i-2" })
        engines.push_back(std::make_unique<Engine>(store, id, "reader", "", run));
    for (const auto* id : { "i-3", "i-4" })
        engines.push_back(std::make_unique<Engine>(store, id, "desk", "", run));

    Gateway gateway(program, folder, "front-1", store.address());
    gateway.writeSettings({});
    gateway.start();
    if (!gateway.waitUntilReady()) {
        record.line("the gateway did not become ready");
        finish(2, { &gateway });
    }
    std::this_thread::sleep_for(milliseconds(5000));

    std::atomic<int> served { 0 };
    std::atomic<int> foreign { 0 };
    const auto request = [&](const std::string& route, int number) {
        auto connection = Connection::open(gateway.port());
        if (!connection)
            return;
        char id[32];
        std::snprintf(id, sizeof id, "%s%08x", route.substr(0, 1).c_str(), number);
        const bool isRead = route == "read";
        record.line("request " + std::string(id) + " is sent on route " + route);
        connection->send((isRead ? "GET /" : "POST /") + route + "/x HTTP/1.1\r\nHost: h.example\r\nX-Hornbeamgate-Request-Id: " + id
            + "\r\nX-Hornbeamgate-Deadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\nConnection: close\r\n" + (isRead ? "\r\n" : "Content-Length: 2\r\n\r\nhi"));
        const auto answer = connection->read(Clock::now() + std::chrono::seconds(4));
        if (!answer || !answer->isComplete || answer->status() != 200) {
            record.line("client of " + std::string(id) + " has status " + std::to_string(answer ? answer->status() : 0));
            return;
        }
        ++served;
        const bool isForeign = answer->body != (isRead ? "made by reader" : "made by desk");
        foreign += isForeign ? 1 : 0;
        record.line(std::string(isForeign ? "FOREIGN " : "") + "client of " + std::string(id) + " on route " + route + " gets 200 with body '" + answer->body + "' signed " + answer->field("X-Hornbeamgate-Server-Signature"));
    };
    const auto& victim = *engines[0];
    for (int tick = 0; tick < 500; ++tick) {
        std::thread([&request, tick] { request("read", tick); }).detach();
        std::thread([&request, tick] { request("book", tick); }).detach();
        if (hasTrouble && tick == 100) {
            const auto entry = R"({"service":"desk","address":")" + victim.address() + R"(","zone":"z1","slots":16,"state":"ready","born":)" + std::to_string(unixMilliseconds()) + '}';
            store.put("keyed.servers", victim.id(), entry);
            record.line("another writer writes servers/" + victim.id() + ": " + entry);
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    std::this_thread::sleep_for(milliseconds(2000));

    const std::lock_guard lock(mutex);
    int broken = 0;
    for (const auto& [what, count] : runs) {
        record.line("runs of route " + what + ": " + std::to_string(count));
        broken += what == "read at reader" || what == "book at desk" ? 0 : count;
    }
    record.line("answers with success: " + std::to_string(served) + ", of them of a service that the route does not go to: " + std::to_string(foreign));
    if (served == 0)
        finish(2, { &gateway });
    finish(broken > 0 ? 1 : 0, { &gateway });
}
