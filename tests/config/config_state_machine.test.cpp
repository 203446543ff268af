#include "hornbeamgate/config/config_state_machine.hpp"
#include "hornbeamgate/config/config_message.hpp"
#include "hornbeamgate/config/config_replica.hpp"

#include "fake_log.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace hornbeamgate;
using namespace hornbeamgate::test;

namespace {

std::string modelLine(int name, int weights) { return "model m" + std::to_string(name) + " weights=" + std::to_string(weights) + "  # Ana"; }

/// Proposal based on `config` that adds or replaces one line.
ConfigProposal propose(const AcceptedConfig& config, const std::string& id, const std::string& line)
{
    ConfigProposal proposal { ProposalId(id), config.version, "Ana", { { line }, {} }, 0, eraOf(config.position) };
    auto document = config.document;
    REQUIRE(document.apply(proposal.delta));
    proposal.digest = document.digest(config.version.next());
    return proposal;
}

/// Log with `changes` accepted changes, and a state machine that has replayed them.
struct PublishedLog {
    explicit PublishedLog(int changes)
    {
        for (int change = 1; change <= changes; ++change) {
            log.append(encodeConfigRecord(propose(stateMachine.accepted(), "p" + std::to_string(change), modelLine(change % 3, change))));
            read(stateMachine);
        }
    }

    ReplayProgress read(ConfigStateMachine& reader) const { return reader.handle(log.read(reader.nextRead(), 1000)); }

    /// Lets the log come back with `records` records, and `reader` read it to its end.
    void returnFromCopy(std::size_t records, ConfigStateMachine& reader)
    {
        log.returnFromCopy(records);
        readAll(reader);
    }

    void readAll(ConfigStateMachine& reader) const
    {
        while (reader.nextRead() != log.end())
            read(reader);
    }

    void append(const ConfigRecord& record) { log.append(encodeConfigRecord(record)); }

    FakeLog log;
    ConfigStateMachine stateMachine;
};

} // namespace

TEST_CASE("the first of two proposals on the same version is accepted and the second is rejected [config]")
{
    PublishedLog published(1);
    const auto base = published.stateMachine.accepted();
    published.log.append(encodeConfigRecord(propose(base, "first", modelLine(1, 7))));
    published.log.append(encodeConfigRecord(propose(base, "second", modelLine(2, 8))));
    CHECK_FALSE(findProposalOutcome(base, ProposalId("second"), base.version));
    published.read(published.stateMachine);
    const auto& config = published.stateMachine.accepted();
    CHECK(config.version == ConfigVersion(2));
    CHECK(findProposalOutcome(config, ProposalId("first"), base.version) == ProposalOutcome(ProposalAccepted { ConfigVersion(2) }));
    CHECK(findProposalOutcome(config, ProposalId("second"), base.version) == ProposalOutcome(ProposalRejected { { ConfigVersion(2), ProposalId("first"), "Ana" } }));
}

TEST_CASE("a new reader replays the records between a checkpoint's position and the checkpoint record [config]")
{
    PublishedLog published(3);
    const ConfigCheckpoint olderCheckpoint { published.stateMachine.accepted() };
    published.log.append(encodeConfigRecord(propose(olderCheckpoint.config, "p4", modelLine(0, 44))));
    published.read(published.stateMachine);
    published.log.append(encodeConfigRecord(olderCheckpoint));
    published.log.append(encodeConfigRecord(propose(olderCheckpoint.config, "stale", modelLine(0, 55))));
    published.log.trim(LogOffset(3));
    published.read(published.stateMachine);

    ConfigStateMachine newReader;
    CHECK(published.read(newReader).isChanged == false);
    REQUIRE(newReader.isAwaitingCheckpoint());
    CHECK(published.read(newReader).isCaughtUp);
    CHECK(newReader.accepted() == published.stateMachine.accepted());
    CHECK(newReader.accepted().version == ConfigVersion(4));
}

TEST_CASE("a checkpoint whose position was trimmed is not used as a starting point [config]")
{
    PublishedLog published(3);
    const ConfigCheckpoint olderCheckpoint { published.stateMachine.accepted() };
    published.log.append(encodeConfigRecord(propose(olderCheckpoint.config, "p4", modelLine(0, 44))));
    published.log.append(encodeConfigRecord(olderCheckpoint));
    published.read(published.stateMachine);
    published.log.trim(LogOffset(4));
    ConfigStateMachine newReader;
    published.read(newReader);
    published.read(newReader);
    CHECK(newReader.isAwaitingCheckpoint());
    CHECK(newReader.accepted().version == ConfigVersion(0));
    CHECK(newReader.adopt(published.stateMachine.accepted()) == AdoptOutcome::Adopted);
    CHECK_FALSE(newReader.isAwaitingCheckpoint());
    CHECK(newReader.accepted() == published.stateMachine.accepted());
}

TEST_CASE("a configuration from a peer is adopted only if it is newer and consistent [config]")
{
    PublishedLog published(5);
    const auto newest = published.stateMachine.accepted();
    const auto older = PublishedLog(3).stateMachine.accepted();
    auto changed = newest;
    REQUIRE(changed.document.apply({ { modelLine(9, 9) }, {} }));
    auto sameVersion = changed;
    sameVersion.digest = sameVersion.document.digest(sameVersion.version);
    auto behind = newest;
    behind.position = LogOffset(1);
    struct Case {
        AcceptedConfig held;
        AcceptedConfig offered;
        AdoptOutcome outcome;
    };
    const Case cases[] = {
        { older, newest, AdoptOutcome::Adopted },
        { newest, older, AdoptOutcome::NotNewer },
        { newest, newest, AdoptOutcome::NotNewer },
        { older, changed, AdoptOutcome::Conflict },
        { newest, sameVersion, AdoptOutcome::Conflict },
        { older, behind, AdoptOutcome::Conflict },
    };
    for (const auto& entry : cases) {
        ConfigStateMachine stateMachine;
        stateMachine.adopt(entry.held);
        CHECK(stateMachine.adopt(entry.offered) == entry.outcome);
        CHECK(stateMachine.accepted().version == std::max(entry.held.version, entry.outcome == AdoptOutcome::Adopted ? entry.offered.version : ConfigVersion {}));
    }
}

TEST_CASE("steps from peers are adopted in version order and inconsistent steps are rejected [config]")
{
    PublishedLog published(6);
    ConfigStateMachine stateMachine;
    stateMachine.adopt(PublishedLog(4).stateMachine.accepted());
    auto steps = published.stateMachine.stepsSince(ConfigVersion(4)).value();
    REQUIRE(steps.size() == 2);
    auto broken = steps[0];
    broken.delta.put = { modelLine(0, 999) };
    CHECK(stateMachine.adopt(broken) == AdoptOutcome::Conflict);
    CHECK(stateMachine.adopt(steps[1]) == AdoptOutcome::Conflict);
    CHECK(stateMachine.adopt(steps[0]) == AdoptOutcome::Adopted);
    CHECK(stateMachine.adopt(steps[0]) == AdoptOutcome::NotNewer);
    CHECK(stateMachine.adopt(steps[1]) == AdoptOutcome::Adopted);
    CHECK(stateMachine.accepted().document == published.stateMachine.accepted().document);
    CHECK_FALSE(PublishedLog(static_cast<int>(kMaxRetainedSteps) + 3).stateMachine.stepsSince(ConfigVersion(1)));
}

TEST_CASE("unparsable lines grant no permissions and rules that refer to them are dropped [config]")
{
    const std::string hash(64, 'a');
    const auto document = RuleDocument::fromLines({ modelLine(1, 1), "engine e host=h models=m1,m2 fencing=checked  # Ana",
        "quota q of=later  # Ana", "workspace w colour=blue  # Ana", "key k workspace=w hash=" + hash + "  # Ana" });
    const auto readable = document.value().readableRules();
    CHECK(readable.rules.models.size() == 1);
    CHECK(readable.rules.engines.empty());
    CHECK(readable.rules.keys.empty());
    CHECK(readable.unreadableLines.size() == 4);
}

TEST_CASE("records and messages round-trip, and corrupted ones are rejected without a crash [config]")
{
    const PublishedLog published(3);
    const auto& config = published.stateMachine.accepted();
    const ConfigRecord records[] = { propose(config, "p", modelLine(1, 1)), ConfigCheckpoint { config } };
    for (const auto& record : records)
        CHECK(decodeConfigRecord(encodeConfigRecord(record)).value() == record);
    const ConfigMessage message { { config.version, config.digest, DataCenterId("dc"), std::chrono::milliseconds(1500) }, published.stateMachine.stepsSince(ConfigVersion(1)).value(), config };
    CHECK(decodeConfigMessage(encodeConfigMessage(message)).value() == message);
    CHECK(rc::check([&](std::uint16_t at, std::uint8_t value, bool isCut) {
        for (auto bytes : { encodeConfigMessage(message), encodeConfigRecord(records[0]), encodeConfigRecord(records[1]) }) {
            bytes[at % bytes.size()] = value;
            if (isCut)
                bytes.resize(at % bytes.size());
            static_cast<void>(decodeConfigMessage(bytes));
            static_cast<void>(decodeConfigRecord(bytes));
        }
    }));
    auto mismatched = config;
    mismatched.version = mismatched.version.next();
    CHECK_FALSE(decodeConfigRecord(encodeConfigRecord(ConfigCheckpoint { mismatched })));
}

TEST_CASE("snapshots sent to peers respect the rate limit [config]")
{
    ConfigReplicaOptions options;
    options.dataCenter = DataCenterId("dc");
    options.exchangeBytesPerSecond = 100;
    options.exchangeBurstBytes = 5000;
    auto replica = ConfigReplica::create(options, std::mt19937_64(1)).value();
    const PublishedLog published(40);
    MonotonicTime now { std::chrono::hours(1) };
    replica.handle(ConfigLogRead { published.log.read(LogOffset(0), 100), now }, now);
    std::size_t snapshots = 0;
    std::size_t bytes = 0;
    for (int second = 0; second < 600; ++second, now += std::chrono::seconds(1)) {
        const auto actions = replica.handle(ConfigRequestReceived { ExchangeTicket(1), HostId("h"), { { {}, 0, DataCenterId("dc"), {} }, {}, {} } }, now);
        const auto& answer = std::get<SendConfigResponse>(actions.front()).message;
        snapshots += answer.snapshot ? 1 : 0;
        bytes += answer.snapshot ? encodeConfigMessage(answer).size() : 0;
    }
    CHECK(snapshots > 1);
    CHECK(bytes <= 5000 + 100 * 600);
}

TEST_CASE("after a lost read the configuration log is read again within the bound of a change [config]")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        ConfigReplicaOptions options;
        options.dataCenter = DataCenterId("dc");
        auto replica = ConfigReplica::create(options, std::mt19937_64(seed)).value();
        const PublishedLog published(3);
        MonotonicTime now { std::chrono::hours(1) };
        const auto findRead = [](const std::vector<ConfigAction>& actions) {
            for (const auto& action : actions) {
                if (const auto* found = std::get_if<ReadConfigLog>(&action))
                    return std::optional(*found);
            }
            return std::optional<ReadConfigLog>();
        };
        const auto nextRead = [&] {
            auto read = findRead(replica.handle(ConfigTimerExpired {}, now));
            while (!read) {
                now = replica.nextDeadline();
                read = findRead(replica.handle(ConfigTimerExpired {}, now));
            }
            return *read;
        };
        nextRead();
        replica.handle(ConfigLogRead { published.log.read(LogOffset(0), 100), now }, now);
        const auto started = now;
        const auto lost = nextRead();
        CHECK(lost.wait > Duration::zero());
        now += lost.wait + lost.timeout;
        replica.handle(ConfigLogRead { LogUnreachable {}, started }, now);
        nextRead();
        // An eighth of the bound is left for the answer, and another one for the daemon.
        CHECK(now - started <= options.bound * 6 / 8);
    }
}

TEST_CASE("an accepted change that the log has lost stays in force, and every reader goes on from it [config]")
{
    PublishedLog published(4);
    auto& holder = published.stateMachine;
    published.returnFromCopy(2, holder);
    CHECK(holder.accepted().version == ConfigVersion(4));
    REQUIRE(holder.isAwaitingOpening());
    ConfigStateMachine reader;
    published.readAll(reader);
    CHECK(reader.accepted().version == ConfigVersion(2));
    // Somebody who knows only the copy proposes a change before the others have written what is lost.
    published.append(propose(reader.accepted(), "early", modelLine(1, 70)));
    published.readAll(reader);
    published.readAll(holder);
    CHECK(reader.accepted().version == ConfigVersion(2));
    published.append(ConfigCheckpoint { holder.accepted() });
    published.readAll(reader);
    published.readAll(holder);
    CHECK(reader.accepted().version == ConfigVersion(4));
    published.append(propose(reader.accepted(), "later", modelLine(1, 71)));
    ConfigStateMachine newReader;
    for (auto* each : { &holder, &reader, &newReader }) {
        published.readAll(*each);
        CHECK(each->accepted().version == ConfigVersion(5));
        CHECK(each->accepted().digest == holder.accepted().digest);
        CHECK_FALSE(each->isAwaitingCheckpoint());
    }
}

TEST_CASE("a newer version replaces the one that an era of the log began with, until a change of the era is accepted [config]")
{
    PublishedLog published(4);
    ConfigStateMachine behind;
    behind.handle(published.log.read(LogOffset(0), 3));
    published.returnFromCopy(2, published.stateMachine);
    published.readAll(behind);
    REQUIRE(behind.accepted().version == ConfigVersion(3));
    published.append(ConfigCheckpoint { behind.accepted() });
    published.readAll(behind);
    SUBCASE("before")
    {
        CHECK(published.read(published.stateMachine).isOpenedOlder);
        published.append(ConfigCheckpoint { published.stateMachine.accepted() });
        published.readAll(behind);
        CHECK(behind.accepted().version == ConfigVersion(4));
    }
    SUBCASE("after")
    {
        published.append(propose(behind.accepted(), "next", modelLine(1, 70)));
        published.append(ConfigCheckpoint { published.stateMachine.accepted() });
        published.readAll(behind);
        CHECK(behind.accepted().recent.back().id == ProposalId("next"));
    }
}

TEST_CASE("late proposals of an earlier era of the log are not accepted after the new one has begun [config]")
{
    PublishedLog published(2);
    const auto late = propose(published.stateMachine.accepted(), "late", modelLine(1, 70));
    published.returnFromCopy(2, published.stateMachine);
    published.append(ConfigCheckpoint { published.stateMachine.accepted() });
    published.append(late);
    published.readAll(published.stateMachine);
    CHECK(published.stateMachine.accepted().version == ConfigVersion(2));
}

TEST_CASE("readers in different eras of the log take newer versions from each other [config]")
{
    PublishedLog published(3);
    ConfigStateMachine behind;
    behind.handle(published.log.read(LogOffset(0), 2));
    auto ahead = published.stateMachine;
    published.returnFromCopy(1, behind);
    CHECK(behind.adopt(ahead.accepted()) == AdoptOutcome::Adopted);
    CHECK(behind.accepted().version == ConfigVersion(3));
    CHECK(behind.nextRead() == published.log.end());
    published.append(ConfigCheckpoint { behind.accepted() });
    published.append(propose(behind.accepted(), "next", modelLine(1, 70)));
    published.readAll(behind);
    REQUIRE(behind.accepted().version == ConfigVersion(4));
    CHECK(ahead.adopt(behind.accepted()) == AdoptOutcome::Adopted);
    published.readAll(ahead);
    CHECK(ahead.accepted().version == ConfigVersion(4));
    CHECK_FALSE(ahead.isAwaitingCheckpoint());
}

TEST_CASE("a daemon writes the accepted configuration again within the bound of a change after the log has returned [config]")
{
    ConfigReplicaOptions options;
    options.dataCenter = DataCenterId("dc");
    auto replica = ConfigReplica::create(options, std::mt19937_64(1)).value();
    PublishedLog published(3);
    MonotonicTime now { std::chrono::hours(1) };
    replica.handle(ConfigLogRead { published.log.read(LogOffset(0), 100), now }, now);
    published.log.returnFromCopy(1);
    const auto returnedAt = now;
    replica.handle(ConfigLogRead { published.log.read(LogOffset(3)), now }, now);
    replica.handle(ConfigLogRead { published.log.read(positionInEra(StoreEra(1), 0)), now }, now);
    std::optional<ConfigRecord> written;
    while (!written && now < returnedAt + 2 * options.bound) {
        now = replica.nextDeadline();
        for (const auto& action : replica.handle(ConfigTimerExpired {}, now)) {
            if (const auto* append = std::get_if<AppendRecord>(&action))
                written = decodeConfigRecord(append->data).value();
        }
    }
    REQUIRE(written);
    CHECK(now <= returnedAt + options.bound);
    CHECK(std::get<ConfigCheckpoint>(*written).config.version == ConfigVersion(3));
}

TEST_CASE("invalid replica options are rejected [config]")
{
    const auto isRefused = [](auto change) {
        ConfigReplicaOptions options;
        options.dataCenter = DataCenterId("dc");
        change(options);
        return !ConfigReplica::create(options, std::mt19937_64(1)).has_value();
    };
    CHECK_FALSE(isRefused([](auto&) {}));
    CHECK(isRefused([](auto& options) { options.dataCenter = {}; }));
    CHECK(isRefused([](auto& options) { options.retention = {}; }));
    CHECK(isRefused([](auto& options) { options.readWait = options.confirmedFor; }));
    CHECK(isRefused([](auto& options) { options.readWait = options.bound / 2; }));
    CHECK(isRefused([](auto& options) { options.exchangePeriod = {}; }));
    CHECK(isRefused([](auto& options) { options.exchangeBytesPerSecond = 0; }));
}
