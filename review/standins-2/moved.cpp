// One gateway. The address of the platform's store changes in the settings while the daemon runs; then a key is dropped.
// Checks rule CONFIG: whether requests with that key still run later than `config-apply-ms`.

#include "harness.hpp"

using namespace review;

namespace {

std::string config(int version, const std::string& keys)
{
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routeText("read", "reader", "safe", 3000, 2, false)
        + R"(],"services":[{"name":"reader","health-path":"/health","max-connections":110,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"tenant-1","api-keys":[)"
        + keys + R"(],"priority":1,"unit":"tokens","uncached-tokens":200,"isolated":false,"rate-per-s":1000000,"burst":1000000}]})";
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 4)
        return 2;
    const std::string program = argv[1];
    const std::string folder = argv[2];
    Record record(argv[3]);
    const bool hasTrouble = !std::getenv("TROUBLE") || std::string(std::getenv("TROUBLE")) != "0";
    constexpr long kConfigApply = 3000;
    record.line(hasTrouble ? "the store moves to another address" : "the store stays where it is");

    Store before(record);
    Store after(record);
    before.put("keyed.op", "config", config(7, "\"key-1\",\"key-2\""));

    std::mutex mutex;
    std::vector<std::pair<long, std::string>> runs;
    const auto run = [&](Engine&, Connection& connection, const Message& message) {
        const auto id = message.field("X-Hornbeamgate-Request-Id");
        if (id.empty())
            return connection.send(httpAnswer(404, {}));
        {
            const std::lock_guard lock(mutex);
            runs.emplace_back(record.now(), id);
        }
        return connection.send(httpAnswer(200, "ok", "X-Hornbeamgate-Request-Id: " + id + "\r\nX-Hornbeamgate-Server-Signature: s\r\n"));
    };
    std::vector<std::unique_ptr<Engine>> engines;
    for (const auto* id : { "i-1", "i-2" })
        engines.push_back(std::make_unique<Engine>(before, id, "reader", "", run));

    Gateway gateway(program, folder, "front-1", before.address());
    gateway.writeSettings({});
    gateway.start();
    if (!gateway.waitUntilReady()) {
        record.line("the gateway did not become ready");
        finish(2, { &gateway });
    }
    std::this_thread::sleep_for(milliseconds(3000));
    if (hasTrouble) {
        after.copyFrom(before);
        for (const auto& engine : engines)
            engine->moveTo(after);
        gateway.setStore(after.address());
        gateway.writeSettings({});
        gateway.signal(SIGHUP);
        record.line("the settings name the store at " + after.address() + " in place of " + before.address() + "; SIGHUP sent");
        std::this_thread::sleep_for(milliseconds(1000));
        before.setDown(true);
        record.line("the store at " + before.address() + " ends");
    }
    std::this_thread::sleep_for(milliseconds(6000));
    (hasTrouble ? after : before).put("keyed.op", "config", config(8, "\"key-1\""));
    const auto acknowledged = record.now();
    record.line("version 8, without key-2, is acknowledged");

    std::map<std::string, long> sent;
    std::map<int, int> statuses;
    for (int tick = 0; tick < 200; ++tick) {
        std::thread([&, tick] {
            auto connection = Connection::open(gateway.port());
            if (!connection)
                return;
            char id[32];
            std::snprintf(id, sizeof id, "a%08x", tick);
            const auto at = record.now();
            {
                const std::lock_guard lock(mutex);
                sent[id] = at;
            }
            connection->send("GET /read/x HTTP/1.1\r\nHost: h.example\r\nX-Hornbeamgate-Request-Id: " + std::string(id) + "\r\nX-Hornbeamgate-Deadline-Ms: 3000\r\nAuthorization: Bearer key-2\r\nConnection: close\r\n\r\n");
            const auto answer = connection->read(Clock::now() + std::chrono::seconds(4));
            const std::lock_guard lock(mutex);
            if (at > acknowledged + kConfigApply)
                ++statuses[answer ? answer->status() : 0];
        }).detach();
        std::this_thread::sleep_for(milliseconds(75));
    }
    std::this_thread::sleep_for(milliseconds(2000));

    const std::lock_guard lock(mutex);
    int late = 0;
    for (const auto& [at, id] : runs) {
        if (!sent.contains(id) || sent[id] <= acknowledged + kConfigApply)
            continue;
        if (++late <= 5)
            record.line("request " + id + " with the dropped key, sent " + std::to_string(sent[id] - acknowledged) + " ms after the acknowledgement, is run");
    }
    for (const auto& [status, count] : statuses)
        record.line("requests with the dropped key sent later than " + std::to_string(kConfigApply) + " ms after it, status " + std::to_string(status) + ": " + std::to_string(count));
    record.line("of these run: " + std::to_string(late));
    finish(late > 0 ? 1 : 0, { &gateway });
}
