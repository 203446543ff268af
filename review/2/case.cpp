// New weights at an engine that sends some of its answers a second time. Exits with 1 if a request that must not be repeated was
// answered 429 or 503 although the engine ran it, with 0 if none was.

#include "../common/testbed.hpp"

#include <nlohmann/json.hpp>

#include <random>
#include <set>

using namespace review;
using nlohmann::json;

namespace {

constexpr std::size_t kGateways = 3;
constexpr std::size_t kClientsPerGateway = 16;
constexpr milliseconds kRoundInterval { 100 };
constexpr milliseconds kVersionInterval { 6'000 };
constexpr int kVersions = 15;
constexpr milliseconds kLoadTime { 830 };
constexpr milliseconds kHeartbeat { 1'200 };
constexpr milliseconds kRunTime { 10 };
/// The site's share of answers, 0.03, at its share of engines, 0.6.
constexpr double kExtraShare = 0.03 * 0.6;
/// Time for which the engine is faulty, from the naming of each version.
constexpr milliseconds kExtraTime { 5'000 };
constexpr unsigned kSeed = 34;
constexpr milliseconds kDeadline { 4'000 };

constexpr const char* kConfig = R"({"version":3,"routes":[{"name":"r-query","host":"wells.example","path-prefix":"/query/","kind":"streaming","timeout-ms":4000,"target-latency-ms":500,
"priority":0,"service":"jezik","max-attempts":2,"public":true,"sticky":true,"resumable":false,"target-gap-ms":400}],
"services":[{"name":"jezik","health-path":"/health","max-connections":180,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-capacity-tokens":159399,"kv-token-bytes":18432,
"link-mbps":180000.0,"moves":true,"backups":true,"stride":6,"max-in-flight":12,"pin-duration-ms":4000.0,"hold-duration-ms":2000.0,"handle_s":5.0,"models":[{"name":"daka510000"}]}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";

/// One model engine. Answers that are chosen at random are sent a second time, late: just before the next answer on their
/// connection.
class Engine {
public:
    Engine(Store& store, Record& record, double extraShare)
        : m_store(store)
        , m_record(record)
        , m_extraShare(extraShare)
        , m_server([this](Connection& connection) { serve(connection); })
    {
        m_entry.id = "i-7f3a91c2";
        m_entry.service = "jezik";
        m_entry.address = m_server.address();
        m_entry.model = "daka510000";
        m_entry.slots = 64;
        m_heartbeats = std::thread([this] { beat(); });
    }
    ~Engine()
    {
        m_isEnding = true;
        m_heartbeats.join();
        m_server.stop();
    }
    Engine(const Engine&) = delete;
    Engine& operator=(const Engine&) = delete;

    bool hasRun(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        return m_runs.contains(id);
    }
    /// Sends a share of the answers twice for a while.
    void spoil()
    {
        const std::lock_guard lock(m_mutex);
        m_spoiledUntil = Clock::now() + kExtraTime;
    }
    int extras() const { return m_extras; }
    int answers() const { return m_answers; }
    int mismatches() const { return m_mismatches; }
    std::uint64_t weights() const { return m_weights; }

private:
    using Fields = std::vector<std::pair<std::string, std::string>>;

    void beat()
    {
        std::uint64_t sequence = 0;
        while (!m_isEnding) {
            auto entry = m_entry;
            entry.weights = weights();
            m_store.put("keyed.servers", entry.id, entry.text(++sequence));
            pause(kHeartbeat);
        }
    }

    void finishLoad()
    {
        const std::lock_guard lock(m_mutex);
        if (m_isBusy && Clock::now() >= m_loadedAt) {
            m_isBusy = false;
            m_weights = m_ordered;
        }
    }

    void serve(Connection& connection)
    {
        std::string extra;
        while (const auto request = connection.readMessage(Clock::now() + std::chrono::hours(1))) {
            finishLoad();
            const auto expected = request->field("X-Hornbeamgate-Expect-Instance");
            std::string text;
            if (!expected.empty() && expected != m_entry.id)
                text = formatMessage("HTTP/1.1 421 Misdirected Request", { { "X-Hornbeamgate-Instance-Id", m_entry.id } }, {});
            else if (request->word(1) == "/hornbeamgate/report")
                text = report();
            else if (request->word(1) == "/hornbeamgate/order")
                text = order(json::parse(request->body));
            else {
                text = run(*request, extra);
                ++m_answers;
                const auto late = drawExtra() ? text : std::string();
                if (!extra.empty() && !connection.send(extra))
                    return;
                if (!connection.send(text))
                    return;
                extra = late;
                continue;
            }
            if (!connection.send(text))
                return;
        }
    }

    std::string report()
    {
        const std::lock_guard lock(m_mutex);
        const json body { { "stage", "both" }, { "models", json::array({ { { "name", m_entry.model }, { "version", m_weights.load() }, { "adapters", json::array() } } }) },
            { "busy", m_isBusy }, { "sequence", m_sequence }, { "waiting", 0 }, { "running", 1 }, { "kv-used", 41000 }, { "kv-total", 90000 }, { "handles", 0 } };
        return formatMessage("HTTP/1.1 200 OK", { { "Content-Type", "application/json" } }, body.dump());
    }

    std::string order(const json& order)
    {
        const std::lock_guard lock(m_mutex);
        const auto version = order.at("version").get<std::uint64_t>();
        if (version <= m_weights)
            return formatMessage("HTTP/1.1 200 OK", {}, {});
        if (m_isBusy || (order.contains("precondition") && order["precondition"] != m_sequence))
            return formatMessage("HTTP/1.1 409 Conflict", {}, {});
        ++m_sequence;
        m_isBusy = true;
        m_ordered = version;
        m_loadedAt = Clock::now() + kLoadTime;
        m_record.write("engine accepts the order of version " + std::to_string(version) + " from " + order.at("holder").get<std::string>());
        return formatMessage("HTTP/1.1 202 Accepted", {}, {});
    }

    /// Runs a request, or says that it does not.
    std::string run(const Message& request, const std::string& extra)
    {
        const auto id = request.field("X-Hornbeamgate-Request-Id");
        Fields fields { { "X-Hornbeamgate-Request-Id", id }, { "X-Hornbeamgate-Instance-Id", m_entry.id }, { "X-Hornbeamgate-Weight-Versions", std::to_string(weights()) } };
        const auto expected = request.field("X-Hornbeamgate-Expect-Version");
        const bool isBusy = [this] {
            const std::lock_guard lock(m_mutex);
            return m_isBusy;
        }();
        if (isBusy || (!expected.empty() && expected != std::to_string(weights()))) {
            fields.emplace_back("X-Hornbeamgate-Not-Executed", "1");
            if (isBusy)
                return formatMessage("HTTP/1.1 503 Service Unavailable", fields, {});
            ++m_mismatches;
            return formatMessage("HTTP/1.1 421 Misdirected Request", fields, {});
        }
        {
            const std::lock_guard lock(m_mutex);
            m_runs.insert(id);
        }
        if (!extra.empty() && extra.find("X-Hornbeamgate-Request-Id: " + id + "\r\n") != std::string::npos)
            m_record.write("engine runs " + id + "; just before its answer on this connection comes a second copy of the 421 to " + id);
        pause(kRunTime);
        fields.emplace_back("X-Hornbeamgate-Server-Signature", "3e1b.07." + id);
        fields.emplace_back("Content-Type", "text/event-stream");
        return formatMessage("HTTP/1.1 200 OK", fields, "id: 0\ndata: a\n\nid: 1\ndata: b\n\n");
    }

    bool drawExtra()
    {
        const std::lock_guard lock(m_mutex);
        const bool isExtra = Clock::now() < m_spoiledUntil && m_draws(m_random) < m_extraShare;
        m_extras += isExtra;
        return isExtra;
    }

    Store& m_store;
    Record& m_record;
    double m_extraShare;
    EngineEntry m_entry;
    std::mutex m_mutex;
    std::mt19937 m_random { kSeed }; // The order in which threads draw differs from run to run.
    std::uniform_real_distribution<double> m_draws { 0, 1 };
    std::set<std::string> m_runs;
    bool m_isBusy = false;
    std::uint64_t m_ordered = 0;
    std::uint64_t m_sequence = 0;
    std::atomic<std::uint64_t> m_weights = 1;
    Clock::time_point m_loadedAt;
    Clock::time_point m_spoiledUntil;
    std::atomic<int> m_extras = 0;
    std::atomic<int> m_answers = 0;
    std::atomic<int> m_mismatches = 0;
    std::atomic<bool> m_isEnding = false;
    Server m_server;
    std::thread m_heartbeats;
};

struct Counts {
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::atomic<int> refused = 0;
    std::atomic<int> otherwise = 0;
    std::atomic<int> broken = 0;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3)
        return 2;
    Record record(std::string(argv[2]) + "/record.txt");
    Store store;
    Engine engine(store, record, hasTrouble() ? kExtraShare : 0);
    store.put("keyed.op", "config", kConfig);
    std::vector<std::unique_ptr<Gateway>> gateways;
    gateways.reserve(kGateways);
    for (std::size_t i = 0; i < kGateways; ++i)
        gateways.push_back(std::make_unique<Gateway>(gatewayProgram(), argv[1], "front-" + std::to_string(i + 1), store.address()));
    for (const auto& gateway : gateways) {
        if (!gateway->waitUntilReady(milliseconds(10'000))) {
            record.write("a gateway is not ready");
            return 2;
        }
    }
    record.write("the gateways are ready");

    Counts counts;
    std::atomic<bool> isOver = false;
    const auto start = Clock::now();
    std::vector<std::thread> clients;
    clients.reserve(kGateways * kClientsPerGateway);
    for (std::size_t i = 0; i < kGateways * kClientsPerGateway; ++i) {
        clients.emplace_back([&, i] {
            auto connection = Connection::open(gateways[i / kClientsPerGateway]->port());
            for (int round = 1; !isOver; ++round) {
                std::this_thread::sleep_until(start + round * kRoundInterval);
                const auto id = "c" + std::to_string(i) + 'a' + std::to_string(round);
                if (!connection)
                    connection = Connection::open(gateways[i / kClientsPerGateway]->port());
                if (!connection)
                    continue;
                ++counts.sent;
                connection->send(formatMessage("POST /query/1 HTTP/1.1", { { "Host", "wells.example" }, { "X-Hornbeamgate-Request-Id", id }, { "X-Hornbeamgate-Model", "daka510000" }, { "X-Hornbeamgate-Token-Usage", "1300,80" }, { "X-Hornbeamgate-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410," + id + ":90" }, { "X-Hornbeamgate-Deadline-Ms", std::to_string(kDeadline.count()) } }, "question"));
                const auto answer = connection->readMessage(Clock::now() + kDeadline);
                const int status = answer ? answer->status() : 0;
                if (!answer)
                    connection.reset();
                counts.served += status == 200;
                const bool isRefused = status == 503 || status == 429 || status == 408 || status == 421;
                counts.refused += isRefused;
                counts.otherwise += status != 200 && !isRefused;
                if (!isRefused)
                    continue;
                // The promise covers the time to come too.
                pause(2 * kRunTime);
                if (!engine.hasRun(id))
                    continue;
                ++counts.broken;
                record.write("client got " + answer->startLine + " to " + id + ", which the engine has run");
            }
        });
    }
    for (int version = 2; version < 2 + kVersions; ++version) {
        store.put("keyed.op", "version/daka510000", json({ { "model", "daka510000" }, { "version", version } }).dump());
        record.write("the store has acknowledged version " + std::to_string(version) + " of daka510000");
        engine.spoil();
        pause(kVersionInterval);
    }
    isOver = true;
    for (auto& client : clients)
        client.join();
    record.write(std::to_string(counts.sent) + " requests sent, " + std::to_string(counts.served) + " answered 200, " + std::to_string(counts.refused) + " refused, " + std::to_string(counts.otherwise) + " answered otherwise");
    record.write("engine: " + std::to_string(engine.answers()) + " answers, " + std::to_string(engine.mismatches()) + " of them 421, " + std::to_string(engine.extras()) + " second copies; weights " + std::to_string(engine.weights()));
    record.write(std::to_string(counts.broken) + " requests were answered 503 and have run: " + (counts.broken > 0 ? "REFUSED is broken" : "REFUSED is kept"));
    if (counts.served == 0 || engine.mismatches() == 0)
        return 2;
    return counts.broken > 0 ? 1 : 0;
}
