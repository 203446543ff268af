// One gateway, one engine with one slot. A tenant becomes isolated while a request of another tenant waits in the engine's
// queue. Checks rule WALL: whose cached parts that request uses.

#include "harness.hpp"

using namespace review;

namespace {

std::string tenant(const std::string& name, const std::string& key, bool isIsolated)
{
    return R"({"name":")" + name + R"(","api-keys":[")" + key + R"("],"priority":1,"unit":"tokens","uncached-tokens":200,"isolated":)" + (isIsolated ? "true" : "false") + R"(,"rate-per-s":1000000,"burst":1000000})";
}

std::string config(int version, bool isIsolated)
{
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routeText("chat", "s", "streaming", 8000, 2, true)
        + R"(],"services":[{"name":"s","health-path":"/health","max-connections":180,"protocol":"h1","tls":false,"engine":{"slots":1,"kv-capacity-tokens":159399,"models":[{"name":"m"}]}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[)"
        + tenant("karst", "key-karst", isIsolated) + ',' + tenant("pivka", "key-pivka", false) + "]}";
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
    record.line(hasTrouble ? "a tenant becomes isolated" : "no tenant becomes isolated");

    Store store(record);
    store.put("keyed.op", "config", config(7, false));
    store.put("keyed.op", "version/m", R"({"model":"m","version":1})");

    std::mutex slot;
    std::mutex mutex;
    std::map<std::string, std::string> cache; ///< tenant whose request made a part, by salt and part
    std::atomic<long> isolatedAt { -1 };
    std::atomic<int> broken { 0 };
    const auto run = [&](Engine& engine, Connection& connection, const Message& message) {
        if (isReport(message))
            return connection.send(httpAnswer(200, R"({"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":0,"kv-used":0,"kv-total":159399,"handles":0})", "Content-Type: application/json\r\n"));
        const auto id = message.field("X-Hornbeamgate-Request-Id");
        if (id.empty())
            return connection.send(httpAnswer(404, {}));
        record.line("request " + id + " reaches the engine");
        const std::lock_guard running(slot);
        const auto salt = message.field("X-Hornbeamgate-Cache-Salt");
        const auto tenantName = message.field("X-Hornbeamgate-Tenant");
        std::istringstream parts(message.field("X-Hornbeamgate-Prompt-Prefix"));
        {
            const std::lock_guard lock(mutex);
            for (std::string part; std::getline(parts, part, ',');) {
                const auto [entry, isNew] = cache.emplace(salt + '|' + part.substr(0, part.find(':')), tenantName);
                if (isNew || entry->second == tenantName)
                    continue;
                const auto at = isolatedAt.load();
                const bool isBroken = at >= 0 && record.now() > at + kConfigApply;
                broken += isBroken ? 1 : 0;
                std::ostringstream line;
                line << "request " << id << " of " << tenantName << " uses part " << part << " under the salt '" << salt << "', made by a request of " << entry->second;
                if (isBroken)
                    line << ", which has been isolated for " << record.now() - at << " ms";
                record.line(line.str());
            }
        }
        const int events = message.body == "long" ? 20 : 2;
        connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Hornbeamgate-Request-Id: " + id
            + "\r\nX-Hornbeamgate-Server-Signature: sig-" + engine.id() + "\r\nX-Hornbeamgate-Weight-Versions: 1\r\n\r\n");
        for (int i = 0; i < events; ++i) {
            connection.send(chunk("id: " + std::to_string(i) + "\ndata: t\n\n"));
            std::this_thread::sleep_for(milliseconds(message.body == "long" ? 270 : 20));
        }
        return connection.send("0\r\n\r\n");
    };
    Engine engine(store, "i-1", "s", "m", run, 1);

    Gateway gateway(program, folder, "front-1", store.address());
    gateway.writeSettings({});
    gateway.start();
    if (!gateway.waitUntilReady()) {
        record.line("the gateway did not become ready");
        finish(2, { &gateway });
    }
    std::this_thread::sleep_for(milliseconds(3000));

    std::atomic<int> answered { 0 };
    const auto request = [&](const std::string& id, const std::string& key, const std::string& prompt, const std::string& body) {
        auto connection = Connection::open(gateway.port());
        if (!connection)
            return;
        record.line("request " + id + " is sent");
        connection->send("POST /chat/ask HTTP/1.1\r\nHost: h.example\r\nX-Hornbeamgate-Request-Id: " + id + "\r\nX-Hornbeamgate-Model: m\r\nX-Hornbeamgate-Token-Usage: 400,20\r\nX-Hornbeamgate-Prompt-Prefix: "
            + prompt + "\r\nX-Hornbeamgate-Deadline-Ms: 8000\r\nAuthorization: Bearer " + key + "\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        const auto answer = connection->read(Clock::now() + std::chrono::seconds(9));
        answered += answer && answer->isComplete && answer->status() == 200 ? 1 : 0;
        record.line("client of " + id + " has status " + std::to_string(answer ? answer->status() : 0));
    };
    request("a1", "key-karst", "5c1e07a2:300,00000001:100", "short");
    std::thread busy([&] { request("b1", "key-pivka", "0badcafe:300,00000002:100", "long"); });
    std::this_thread::sleep_for(milliseconds(200));
    std::thread waiting([&] { request("b2", "key-pivka", "5c1e07a2:300,00000003:100", "short"); });
    std::this_thread::sleep_for(milliseconds(300));
    if (hasTrouble) {
        store.put("keyed.op", "config", config(8, true));
        isolatedAt = record.now();
        record.line("version 8, in which karst is isolated, is acknowledged");
    }
    busy.join();
    waiting.join();
    record.line("uses of an isolated tenant's parts later than " + std::to_string(kConfigApply) + " ms after the acknowledgement: " + std::to_string(broken));
    if (answered < 3)
        finish(2, { &gateway });
    finish(broken > 0 ? 1 : 0, { &gateway });
}
