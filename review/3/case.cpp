// A tenant that becomes isolated, and the cache that its earlier requests have filled. Exits with 1 if a request of another tenant
// used that cache although the configuration was in force, with 0 if none did.

#include "../common/testbed.hpp"

#include <set>

using namespace review;

namespace {

constexpr milliseconds kConfigBound { 3'000 };
constexpr int kRequestsEach = 3;
constexpr milliseconds kRequestInterval { 300 };
constexpr const char* kPrompt = "5c1e07a2:800,91bd3f06:410,";

std::string configText(int version, bool isIsolated)
{
    const std::string tenantFields = R"("priority":1,"unit":"tokens","uncached-tokens":200,"rate-per-s":297162,"burst":297162)";
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[{"name":"r-query","host":"wells.example","path-prefix":"/query/","kind":"streaming","timeout-ms":8000,"target-latency-ms":800,
"priority":1,"service":"jezik","max-attempts":2,"public":false,"sticky":true,"resumable":true,"target-gap-ms":400}],
"services":[{"name":"jezik","health-path":"/health","max-connections":180,"protocol":"h1","tls":false,"engine":{"slots":16,"kv-capacity-tokens":159399,"kv-token-bytes":18432,
"link-mbps":180000.0,"moves":true,"backups":true,"stride":6,"max-in-flight":12,"pin-duration-ms":4000.0,"hold-duration-ms":2000.0,"handle_s":5.0,"models":[{"name":"daka510000"}]}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"karst","api-keys":["key-of-karst"],"isolated":)"
        + (isIsolated ? "true" : "false") + "," + tenantFields + R"(},{"name":"pivka","api-keys":["key-of-pivka"],"isolated":false,)" + tenantFields + "}]}";
}

/// Cached parts of one engine, found only under the same salt and after the same parts.
class PromptCache {
public:
    struct Use {
        std::string part;
        std::string maker;
    };

    /// Returns the parts that the request finds, and keeps the others.
    std::vector<Use> read(const std::string& salt, std::string_view prompt, const std::string& tenant)
    {
        std::vector<Use> found;
        std::string prefix = salt;
        bool isHeld = true;
        while (!prompt.empty()) {
            const auto end = std::min(prompt.find(','), prompt.size());
            const std::string part(prompt.substr(0, prompt.find(':')));
            prompt.remove_prefix(std::min(end + 1, prompt.size()));
            prefix += '/' + part;
            const auto [entry, isNew] = m_makers.try_emplace(prefix, tenant);
            isHeld = isHeld && !isNew;
            if (isHeld)
                found.push_back({ part, entry->second });
        }
        return found;
    }

private:
    std::map<std::string, std::string> m_makers; ///< tenant whose request made the part
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3)
        return 2;
    Record record(std::string(argv[2]) + "/record.txt");
    Store store;
    PromptCache cache;
    std::mutex mutex;
    std::atomic<bool> isInForce = false;
    int foreignUses = 0;
    int runs = 0;
    std::set<std::string> salts; ///< of the isolated tenant while the configuration is in force
    Server engine([&](Connection& connection) {
        while (const auto request = connection.readMessage(Clock::now() + std::chrono::hours(1))) {
            const auto id = request->field("X-Hornbeamgate-Request-Id");
            const auto tenant = request->field("X-Hornbeamgate-Tenant");
            const auto salt = request->field("X-Hornbeamgate-Cache-Salt");
            {
                const std::lock_guard lock(mutex);
                ++runs;
                std::string text = "engine runs ";
                text.append(id).append(" of tenant ").append(tenant).append(" under salt '").append(salt).append("'");
                for (const auto& use : cache.read(salt, request->field("X-Hornbeamgate-Prompt-Prefix"), tenant)) {
                    text.append(", uses part ").append(use.part).append(" made by ").append(use.maker);
                    const bool isForeign = use.maker != tenant && (use.maker == "karst" || tenant == "karst");
                    foreignUses += isInForce && hasTrouble() && isForeign;
                }
                if (tenant == "karst" && isInForce)
                    salts.insert(salt);
                record.write(text);
            }
            const std::string events = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";
            if (!connection.send(formatMessage("HTTP/1.1 200 OK", { { "Content-Type", "text/event-stream" }, { "X-Hornbeamgate-Request-Id", id }, { "X-Hornbeamgate-Server-Signature", "3e1b.07." + id }, { "X-Hornbeamgate-Weight-Versions", "1" } }, events)))
                return;
        }
    });
    EngineEntry entry;
    entry.id = "i-llm";
    entry.service = "jezik";
    entry.address = engine.address();
    entry.model = "daka510000";
    store.put("keyed.servers", entry.id, entry.text(1));
    store.put("keyed.op", "config", configText(3, false));
    Gateway gateway(gatewayProgram(), argv[1], "front-postojna-1", store.address());
    if (!gateway.waitUntilReady(milliseconds(10'000))) {
        record.write("the gateway is not ready");
        return 2;
    }

    int number = 0;
    const auto ask = [&](const std::string& tenant) {
        const auto id = "a1" + std::to_string(++number);
        const auto connection = Connection::open(gateway.port());
        const auto text = formatMessage("POST /query/1 HTTP/1.1", { { "Host", "wells.example" }, { "X-Hornbeamgate-Request-Id", id }, { "X-Hornbeamgate-Model", "daka510000" }, { "X-Hornbeamgate-Token-Usage", "1460,80" }, { "X-Hornbeamgate-Prompt-Prefix", kPrompt + id + ":250" }, { "X-Hornbeamgate-Deadline-Ms", "8000" }, { "Authorization", "Bearer key-of-" + tenant } }, "question");
        if (!connection || !connection->send(text))
            return;
        record.write("client of " + tenant + " sent " + id);
        const auto answer = connection->readMessage(Clock::now() + milliseconds(8'000));
        record.write("client of " + tenant + " got " + (answer ? answer->startLine : "no answer") + " to " + id);
    };
    for (int i = 0; i < kRequestsEach; ++i) {
        ask("karst");
        pause(kRequestInterval);
    }
    if (hasTrouble()) {
        store.put("keyed.op", "config", configText(7, true));
        record.write("the store has acknowledged version 7, in which karst is isolated");
    }
    pause(kConfigBound + milliseconds(500));
    isInForce = true;
    record.write("config-apply-ms have passed");
    for (int i = 0; i < kRequestsEach; ++i) {
        ask("karst");
        ask("pivka");
        pause(kRequestInterval);
    }
    const std::lock_guard lock(mutex);
    for (const auto& salt : salts)
        record.write("requests of karst now run under salt \"" + salt + '"');
    record.write(std::to_string(foreignUses) + " uses of a part that karst, now isolated, made for another tenant or the other way round: " + (foreignUses > 0 ? "WALL is broken" : "WALL is kept"));
    if (runs != 3 * kRequestsEach)
        return 2;
    return foreignUses > 0 ? 1 : 0;
}
