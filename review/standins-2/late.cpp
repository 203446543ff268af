// Three gateways, one engine. The store comes back from an older copy, and carries out an append of the last leader from before
// that at the offset that ends the journal again. Then the new leader is killed. Checks rule ONE.

#include "harness.hpp"

using namespace review;

namespace {

constexpr const char* kOrders = "keyed.orders";
/// Appends that a new leader makes before its first order: its claim, the end of its wait for all engines, and the order's record.
constexpr std::size_t kAppendsOfNewLeader = 3;

struct Order {
    long at;
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

std::string target(int version)
{
    return R"({"model":"m","version":)" + std::to_string(version) + '}';
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
    constexpr long kLease = 3000;
    record.line(hasTrouble ? "the lost append is carried out late" : "the lost append is never carried out");

    Store store(record, 1);
    const auto config = configText(routeText("chat", "s", "streaming", 8000, 2, true), R"({"name":"s","health-path":"/health","max-connections":180,"protocol":"h1","tls":false,"engine":{"slots":16,"kv-capacity-tokens":159399,"models":[{"name":"m"}]}})");
    store.put("keyed.op", "config", config);
    store.put("keyed.op", "version/m", target(1));

    std::vector<std::unique_ptr<Gateway>> gateways;
    for (const auto* host : { "front-1", "front-2", "front-3" })
        gateways.push_back(std::make_unique<Gateway>(program, folder, host, store.address()));
    const auto end = [&](int code) { finish(code, { gateways[0].get(), gateways[1].get(), gateways[2].get() }); };
    const auto find = [&](const std::string& host) -> Gateway& {
        for (auto& gateway : gateways) {
            if (gateway->host() == host)
                return *gateway;
        }
        return *gateways.front();
    };

    std::mutex mutex;
    std::vector<Order> orders;
    std::string firstLeader;
    bool isReturned = false;
    long lostAt = 0;
    const auto onOrder = [&](const Order& order) {
        if (!isReturned || order.holder == firstLeader)
            return;
        // The first order of the new leader.
        isReturned = false;
        find(order.holder).signal(SIGKILL);
        record.line("killed " + order.holder + ", the new leader, as its order is accepted");
        if (hasTrouble)
            record.line("the lost append is carried out " + std::to_string(record.now() - lostAt) + " ms after it was sent: " + (store.carryOutLostAppend() ? "done" : "its condition does not hold"));
        store.put("keyed.op", "version/m", target(5));
        record.line("version 5 is named");
    };
    const auto run = [&](Engine& engine, Connection& connection, const Message& message) {
        if (isReport(message)) {
            return connection.send(httpAnswer(200, "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":" + std::to_string(engine.version()) + ",\"adapters\":[]}],\"busy\":false,\"sequence\":" + std::to_string(engine.version() - 1) + ",\"waiting\":0,\"running\":0,\"kv-used\":0,\"kv-total\":159399,\"handles\":0}", "Content-Type: application/json\r\n"));
        }
        if (!isOrder(message))
            return connection.send(httpAnswer(404, {}));
        const Order order { record.now(), textOf(message.body, "holder"), textOf(message.body, "fencing-token"), textOf(message.body, "version") };
        record.line("order to " + engine.id() + " from holder " + order.holder + " token " + order.token + " version " + order.version);
        const bool isSent = connection.send(httpAnswer(202, {}));
        {
            const std::lock_guard lock(mutex);
            orders.push_back(order);
            onOrder(order);
        }
        const auto version = std::atol(order.version.c_str());
        std::thread([&engine, version] {
            std::this_thread::sleep_for(milliseconds(830));
            engine.setVersion(version);
        }).detach();
        return isSent;
    };
    Engine engine(store, "i-1", "s", "m", run);
    for (auto& gateway : gateways) {
        gateway->writeSettings({});
        gateway->start();
    }
    for (auto& gateway : gateways) {
        if (!gateway->waitUntilReady())
            end(2);
    }
    std::this_thread::sleep_for(milliseconds(6000));

    // Two roll-outs, each with a record of its order and one without orders four seconds later.
    for (const int version : { 2, 3 }) {
        store.put("keyed.op", "version/m", target(version));
        record.line("version " + std::to_string(version) + " is named");
        std::this_thread::sleep_for(milliseconds(5500));
    }
    {
        const std::lock_guard lock(mutex);
        if (orders.size() < 2)
            end(2);
        firstLeader = orders.back().holder;
    }
    store.loseNextAppend(kOrders);
    store.put("keyed.op", "version/m", target(4));
    record.line("version 4 is named");
    std::optional<std::size_t> at;
    for (int i = 0; i < 100 && !at; ++i) {
        std::this_thread::sleep_for(milliseconds(10));
        at = store.lostAppend();
    }
    if (!at || *at < kAppendsOfNewLeader)
        end(2);
    lostAt = record.now();
    // The last leader goes on for a few reports.
    std::this_thread::sleep_for(milliseconds(450));
    find(firstLeader).stop(SIGKILL);
    record.line("killed " + firstLeader + ", the first leader");
    store.setDown(true);
    const auto copiedAt = store.appendedAt(kOrders, *at - kAppendsOfNewLeader) - milliseconds(1);
    record.line("the store is away");
    std::this_thread::sleep_for(milliseconds(300));
    store.returnFromCopy(copiedAt);
    store.put("keyed.op", "config", config);
    store.put("keyed.op", "version/m", target(4));
    engine.setVersion(engine.version());
    store.setDown(false);
    record.line("the store is back from a copy that is " + std::to_string(std::chrono::duration_cast<milliseconds>(Clock::now() - copiedAt).count()) + " ms old; the operator and the engine write again");
    {
        const std::lock_guard lock(mutex);
        isReturned = true;
    }
    std::this_thread::sleep_for(milliseconds(20000));

    const std::lock_guard lock(mutex);
    int broken = 0;
    std::set<std::string> holders;
    for (std::size_t i = 0; i < orders.size(); ++i) {
        holders.insert(orders[i].holder);
        if (i == 0 || orders[i].holder == orders[i - 1].holder)
            continue;
        const auto gap = orders[i].at - orders[i - 1].at;
        record.line("an order of " + orders[i].holder + " comes " + std::to_string(gap) + " ms after one of " + orders[i - 1].holder);
        broken += gap < kLease ? 1 : 0;
    }
    record.line("holders: " + std::to_string(holders.size()) + ", turns within the lease of " + std::to_string(kLease) + " ms: " + std::to_string(broken));
    if (holders.size() < 3)
        end(2);
    end(broken > 0 ? 1 : 0);
}
