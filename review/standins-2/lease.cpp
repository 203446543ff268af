// Two gateways, six engines. The lease of the settings grows while the daemons run; then the machine that gave the last
// orders is killed while newer weights are named. Checks rule ONE with the lease that is in force.

#include "harness.hpp"

using namespace review;

namespace {

struct Order {
    long at;
    std::string engine;
    std::string holder;
    std::string token;
    std::string version;
};

std::string textOf(const std::string& body, const std::string& name)
{
    const auto at = body.find('"' + name + "\":");
    if (at == std::string::npos)
        return {};
    auto start = at + name.size() + 3;
    if (body[start] == '"')
        ++start;
    return body.substr(start, body.find_first_of("\",}", start) - start);
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
    constexpr long kLeaseBefore = 3000;
    constexpr long kLease = 10000;
    record.line(hasTrouble ? "with the change of the settings" : "without the change of the settings");

    Store store(record);
    store.put("keyed.op", "config", configText(routeText("chat", "s", "streaming", 8000, 2, true), R"({"name":"s","health-path":"/health","max-connections":180,"protocol":"h1","tls":false,"engine":{"slots":16,"kv-capacity-tokens":159399,"models":[{"name":"m"}]}})"));
    store.put("keyed.op", "version/m", R"({"model":"m","version":1})");

    std::mutex mutex;
    std::vector<Order> orders;
    std::vector<std::unique_ptr<Engine>> engines;
    const auto run = [&](Engine& engine, Connection& connection, const Message& message) {
        if (isReport(message)) {
            return connection.send(httpAnswer(200, "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":" + std::to_string(engine.version()) + ",\"adapters\":[]}],\"busy\":false,\"sequence\":" + std::to_string(engine.version() - 1) + ",\"waiting\":0,\"running\":0,\"kv-used\":0,\"kv-total\":159399,\"handles\":0}", "Content-Type: application/json\r\n"));
        }
        if (!isOrder(message))
            return connection.send(httpAnswer(404, {}));
        const Order order { record.now(), engine.id(), textOf(message.body, "holder"), textOf(message.body, "fencing-token"), textOf(message.body, "version") };
        {
            const std::lock_guard lock(mutex);
            orders.push_back(order);
        }
        record.line("order to " + order.engine + " from holder " + order.holder + " token " + order.token + " version " + order.version);
        const bool isSent = connection.send(httpAnswer(202, {}));
        const auto version = std::atol(order.version.c_str());
        std::thread([&engine, version] {
            std::this_thread::sleep_for(milliseconds(830));
            engine.setVersion(version);
        }).detach();
        return isSent;
    };
    for (int i = 1; i <= 6; ++i)
        engines.push_back(std::make_unique<Engine>(store, "i-" + std::to_string(i), "s", "m", run));

    Gateway first(program, folder, "front-1", store.address());
    Gateway second(program, folder, "front-2", store.address());
    for (auto* gateway : { &first, &second }) {
        gateway->writeSettings({ .lease = hasTrouble ? kLeaseBefore : kLease });
        gateway->start();
    }
    if (!first.waitUntilReady() || !second.waitUntilReady()) {
        record.line("a gateway did not become ready");
        finish(2, { &first, &second });
    }
    std::this_thread::sleep_for(milliseconds(4000));
    if (hasTrouble) {
        for (auto* gateway : { &first, &second })
            gateway->writeSettings({ .lease = kLease });
        record.line("the lease in the settings is now " + std::to_string(kLease) + " ms");
    }
    std::this_thread::sleep_for(milliseconds(5000));

    store.put("keyed.op", "version/m", R"({"model":"m","version":2})");
    record.line("version 2 is named");
    std::string holder;
    for (int i = 0; i < 200; ++i) {
        std::this_thread::sleep_for(milliseconds(50));
        const std::lock_guard lock(mutex);
        if (orders.size() >= engines.size()) {
            holder = orders.back().holder;
            break;
        }
    }
    if (holder.empty()) {
        record.line("not all engines got an order");
        finish(2, { &first, &second });
    }
    std::this_thread::sleep_for(milliseconds(300));
    auto& leader = holder == first.host() ? first : second;
    leader.stop(SIGKILL);
    record.line("killed " + holder);
    store.put("keyed.op", "version/m", R"({"model":"m","version":3})");
    record.line("version 3 is named");
    std::this_thread::sleep_for(milliseconds(22000));

    const std::lock_guard lock(mutex);
    std::map<std::string, Order> last;
    int broken = 0;
    std::size_t ofSecond = 0;
    for (const auto& order : orders) {
        ofSecond += order.holder != holder ? 1 : 0;
        const auto before = last.find(order.engine);
        if (before != last.end() && before->second.holder != order.holder && order.at - before->second.at < kLease) {
            ++broken;
            record.line("broken: " + order.engine + " had an order from " + before->second.holder + " and " + std::to_string(order.at - before->second.at) + " ms later one from " + order.holder);
        }
        last[order.engine] = order;
    }
    record.line("orders of the second holder: " + std::to_string(ofSecond) + ", turns within the lease: " + std::to_string(broken));
    if (ofSecond == 0)
        finish(2, { &first, &second });
    finish(broken > 0 ? 1 : 0, { &first, &second });
}
