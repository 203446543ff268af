#include "hornbeamgate/config/config_replica.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace hornbeamgate {
namespace {

    using namespace std::chrono_literals;

    /// Minimum time between the starts of two reads that return no records.
    constexpr Duration kMinReadInterval = 100ms;
    // Shares of the bound of a change, in eighths: a lost read with its wait, and the longest delay before the next read, after
    // the first and after further failures. The rest is left for the answer and for the daemon itself.
    constexpr int kShares = 8;
    constexpr int kReadWaitShares = 3;
    constexpr int kReadTimeoutShares = 2;
    constexpr int kFirstRetryShares = 1;
    constexpr int kRetryShares = 2;
    /// Delay of the first read after startup, so that peers can respond before the whole stream is read.
    constexpr Duration kInitialReadDelay = 250ms;
    constexpr Duration kResponseTimeout = 2s;
    constexpr std::size_t kMaxPendingRequests = 64;
    /// Checkpoints per retention period. Several must fail in a row before the log no longer contains the configuration.
    constexpr int kCheckpointsPerRetention = 4;
    constexpr int kJitterRangesPerRetention = 8;
    constexpr Duration kMinRetention = 1min;

} // namespace

Result<ConfigReplica, ConfigOptionsError> ConfigReplica::create(ConfigReplicaOptions options, std::mt19937_64 random)
{
    if (options.dataCenter.empty())
        return failure(ConfigOptionsError { "the data centre must not be empty" });
    if (options.retention < kMinRetention)
        return failure(ConfigOptionsError { "the log retention must be at least one minute" });
    if (options.readWait < Duration::zero() || options.exchangePeriod <= Duration::zero() || options.confirmedFor <= Duration::zero())
        return failure(ConfigOptionsError { "periods must be greater than zero" });
    // A confirmation can reach the age of two full read waits before the next one replaces it.
    if (options.readWait * 2 >= options.confirmedFor)
        return failure(ConfigOptionsError { "confirmations must be valid for longer than two read waits" });
    if (options.readWait > options.bound * kReadWaitShares / kShares)
        return failure(ConfigOptionsError { "the read wait must leave time to read again within the bound" });
    if (!(options.exchangeBytesPerSecond > 0) || !(options.exchangeBurstBytes > 0))
        return failure(ConfigOptionsError { "the exchange rate limit must be greater than zero" });
    return ConfigReplica(std::move(options), random);
}

ConfigReplica::ConfigReplica(ConfigReplicaOptions options, std::mt19937_64 random)
    : m_options(std::move(options))
    , m_random(random)
    , m_exchangeLimiter(m_options.exchangeBytesPerSecond, m_options.exchangeBurstBytes)
{
}

std::vector<ConfigAction> ConfigReplica::handle(const ConfigEvent& event, MonotonicTime now)
{
    std::visit([&](const auto& content) { on(content, now); }, event);
    return std::exchange(m_actions, {});
}

MonotonicTime ConfigReplica::nextDeadline() const
{
    auto deadline = m_roundDue;
    if (m_readDue)
        deadline = std::min(deadline, *m_readDue);
    if (m_checkpointDue)
        deadline = std::min(deadline, *m_checkpointDue);
    if (m_openingDue)
        deadline = std::min(deadline, *m_openingDue);
    return deadline;
}

void ConfigReplica::on(const ConfigTimerExpired&, MonotonicTime now)
{
    if (!m_isStarted) {
        m_isStarted = true;
        m_readDue = m_peers.empty() ? now : now + kInitialReadDelay;
    }
    if (m_roundDue <= now)
        startRound(now);
    if (m_readDue && *m_readDue <= now)
        startRead();
    if (m_checkpointDue && *m_checkpointDue <= now)
        writeCheckpoint(now);
    if (m_openingDue && *m_openingDue <= now)
        writeOpening(now);
}

void ConfigReplica::startRead()
{
    m_readDue.reset();
    m_actions.emplace_back(ReadConfigLog { m_stateMachine.nextRead(), m_mayWait ? m_options.readWait : Duration::zero(), m_options.bound * kReadTimeoutShares / kShares - kMinReadInterval });
}

void ConfigReplica::on(const ConfigLogRead& event, MonotonicTime now)
{
    const auto before = m_stateMachine.accepted().version;
    const auto progress = m_stateMachine.handle(event.result);
    reportProgress(progress);
    const auto* read = std::get_if<LogRecordsRead>(&event.result);
    if (read && read->next < m_stateMachine.nextRead() && read->records.empty())
        report(ConfigFault::LogTooShort, "next=" + std::to_string(read->next.value()) + " position=" + std::to_string(m_stateMachine.nextRead().value()));
    applyChange(before, now);
    if (progress.isCaughtUp)
        confirm(event.began);
    scheduleCheckpoint(progress, now);
    scheduleOpening(event, progress, now);
    scheduleRead(event, progress, now);
}

void ConfigReplica::scheduleRead(const ConfigLogRead& event, const ReplayProgress& progress, MonotonicTime now)
{
    if (std::holds_alternative<LogUnreachable>(event.result)) {
        m_mayWait = false;
        const auto longest = m_options.bound * (m_lostReads++ == 0 ? kFirstRetryShares : kRetryShares) / kShares;
        m_readDue = now + randomDuration(longest / 2, longest);
        return;
    }
    m_lostReads = 0;
    const auto* read = std::get_if<LogRecordsRead>(&event.result);
    m_mayWait = read != nullptr;
    const bool hasMore = !read || (!read->records.empty() && !progress.isCaughtUp);
    m_readDue = hasMore ? now : std::max(now, event.began + kMinReadInterval);
}

void ConfigReplica::reportProgress(const ReplayProgress& progress)
{
    if (progress.undecodableRecords > 0)
        report(ConfigFault::UndecodableRecord, "records=" + std::to_string(progress.undecodableRecords));
    if (progress.conflicts > 0)
        report(ConfigFault::Conflict, "checkpoints=" + std::to_string(progress.conflicts));
}

void ConfigReplica::scheduleCheckpoint(const ReplayProgress& progress, MonotonicTime now)
{
    if (m_stateMachine.isAwaitingCheckpoint() || m_stateMachine.accepted().version == ConfigVersion {}) {
        m_checkpointDue.reset();
        return;
    }
    // After catching up, the age of the last checkpoint is unknown, so a new one is treated as due.
    if (!m_checkpointDue && progress.isCaughtUp)
        m_checkpointDue = now + checkpointJitter();
    else if (m_checkpointDue && progress.hasCheckpoint)
        m_checkpointDue = now + m_options.retention / kCheckpointsPerRetention + checkpointJitter();
}

/// Random delay whose probability density grows exponentially: few daemons write early and most wait long, so that the
/// first checkpoint suppresses nearly all others.
Duration ConfigReplica::checkpointJitter()
{
    const double skew = std::log(static_cast<double>(m_peers.size()) + 1) + 1;
    const double uniform = std::uniform_real_distribution<double>(0, 1)(m_random);
    const double share = std::log(uniform * (std::exp(skew) - 1) + 1) / skew;
    return std::chrono::duration_cast<Duration>(m_options.retention / kJitterRangesPerRetention * share);
}

void ConfigReplica::writeCheckpoint(MonotonicTime now)
{
    m_checkpointDue = now + m_options.retention / kJitterRangesPerRetention + checkpointJitter();
    if (isConfirmed(now))
        appendCheckpoint();
}

void ConfigReplica::scheduleOpening(const ConfigLogRead& event, const ReplayProgress& progress, MonotonicTime now)
{
    if (progress.isOpenedOlder) {
        appendCheckpoint();
        return;
    }
    if (!m_stateMachine.isAwaitingOpening()) {
        m_openingDue.reset();
        return;
    }
    const auto* read = std::get_if<LogRecordsRead>(&event.result);
    if (!m_openingDue && read && m_stateMachine.nextRead() == read->next)
        m_openingDue = now + randomDuration(m_options.bound / 2, m_options.bound);
}

void ConfigReplica::writeOpening(MonotonicTime now)
{
    m_openingDue = now + m_options.bound;
    appendCheckpoint();
}

void ConfigReplica::appendCheckpoint()
{
    m_lastAppend = m_lastAppend.next();
    m_actions.emplace_back(AppendRecord { m_lastAppend, std::string(kConfigStream), encodeConfigRecord(ConfigCheckpoint { m_stateMachine.accepted() }) });
}

void ConfigReplica::on(const ConfigPeersKnown& event, MonotonicTime)
{
    m_peers = event.peers;
}

void ConfigReplica::startRound(MonotonicTime now)
{
    std::erase_if(m_pendingRequests, [&](const auto& entry) { return entry.second.expiresAt <= now; });
    const bool isConfirmedNow = isConfirmed(now);
    const auto period = isConfirmedNow ? m_options.exchangePeriod : m_options.exchangePeriod / 2;
    m_roundDue = now + randomDuration(period * 3 / 4, period * 5 / 4);
    for (const auto& peer : choosePeers(isConfirmedNow))
        sendRequest(peer, {}, now);
}

/// Chooses one peer of this daemon's data centre while confirmed, otherwise one peer of each data centre.
std::vector<HostId> ConfigReplica::choosePeers(bool isConfirmed)
{
    std::map<DataCenterId, std::vector<const ConfigPeer*>> candidates;
    for (const auto& peer : m_peers) {
        if (!isConfirmed || peer.dataCenter == m_options.dataCenter)
            candidates[peer.dataCenter].push_back(&peer);
    }
    std::vector<HostId> chosen;
    for (const auto& [dataCenter, peers] : candidates) {
        std::uniform_int_distribution<std::size_t> index(0, peers.size() - 1);
        chosen.push_back(peers[index(m_random)]->host);
    }
    return chosen;
}

void ConfigReplica::sendRequest(const HostId& peer, std::vector<AcceptedStep> steps, MonotonicTime now)
{
    if (m_pendingRequests.size() >= kMaxPendingRequests)
        m_pendingRequests.erase(m_pendingRequests.begin());
    m_lastTicket = m_lastTicket.next();
    m_pendingRequests.emplace(m_lastTicket, PendingRequest { peer, now, now + kResponseTimeout });
    m_actions.emplace_back(SendConfigRequest { m_lastTicket, peer, { digest(now), std::move(steps), std::nullopt } });
}

void ConfigReplica::on(const ConfigRequestReceived& event, MonotonicTime now)
{
    mergeMessage(event.message, now);
    m_actions.emplace_back(SendConfigResponse { event.ticket, makeResponse(event.message.digest, now) });
    if (event.message.digest.version > m_stateMachine.accepted().version)
        sendRequest(event.from, {}, now);
}

void ConfigReplica::on(const ConfigResponseReceived& event, MonotonicTime now)
{
    const auto pending = m_pendingRequests.extract(event.ticket);
    if (pending.empty())
        return;
    const auto sentAt = pending.mapped().sentAt;
    const auto& peerDigest = event.message.digest;
    mergeMessage(event.message, now);
    m_actions.emplace_back(ConfigPeerReport { peerDigest.dataCenter, sentAt, peerDigest.confirmedAgo });
    // The peer's confirmation age is subtracted from the time at which the request was sent, so that a slow response
    // cannot make the confirmation appear more recent.
    if (peerDigest.confirmedAgo && peerDigest.version <= m_stateMachine.accepted().version)
        confirm(sentAt - *peerDigest.confirmedAgo);
}

void ConfigReplica::on(const ConfigRequestFailed& event, MonotonicTime)
{
    m_pendingRequests.erase(event.ticket);
}

void ConfigReplica::mergeMessage(const ConfigMessage& message, MonotonicTime now)
{
    const auto before = m_stateMachine.accepted().version;
    bool hasConflict = false;
    for (const auto& step : message.steps) {
        // A gap means that this daemon is further behind than the sender assumed; it requests the missing changes.
        if (step.change.version > m_stateMachine.accepted().version.next())
            break;
        hasConflict = hasConflict || m_stateMachine.adopt(step) == AdoptOutcome::Conflict;
    }
    if (message.snapshot)
        hasConflict = hasConflict || m_stateMachine.adopt(*message.snapshot) == AdoptOutcome::Conflict;
    const auto& ownConfig = m_stateMachine.accepted();
    hasConflict = hasConflict || (message.digest.version == ownConfig.version && message.digest.digest != ownConfig.digest);
    if (hasConflict)
        report(ConfigFault::Conflict, "peer_version=" + std::to_string(message.digest.version.value()) + " version=" + std::to_string(ownConfig.version.value()));
    applyChange(before, now);
}

void ConfigReplica::applyChange(ConfigVersion before, MonotonicTime now)
{
    const auto version = m_stateMachine.accepted().version;
    if (version == before)
        return;
    auto readable = m_stateMachine.accepted().document.readableRules();
    m_rules = std::move(readable.rules);
    if (!readable.unreadableLines.empty())
        report(ConfigFault::UnreadableRules, "version=" + std::to_string(version.value()) + " lines=" + std::to_string(readable.unreadableLines.size()));
    m_actions.emplace_back(ActivateRules { version });
    pushChange(before, now);
}

void ConfigReplica::pushChange(ConfigVersion before, MonotonicTime now)
{
    std::vector<ConfigPeer> chosen;
    std::sample(m_peers.begin(), m_peers.end(), std::back_inserter(chosen), m_options.pushFanout, m_random);
    auto steps = m_stateMachine.stepsSince(before).value_or(std::vector<AcceptedStep> {});
    const auto bytes = encodeConfigMessage({ digest(now), steps, std::nullopt }).size() * chosen.size();
    if (!m_exchangeLimiter.tryConsume(bytes, now))
        steps.clear();
    for (const auto& peer : chosen)
        sendRequest(peer.host, steps, now);
}

ConfigMessage ConfigReplica::makeResponse(const ConfigDigest& requester, MonotonicTime now)
{
    ConfigMessage digestOnly { digest(now), {}, std::nullopt };
    if (requester.version >= m_stateMachine.accepted().version)
        return digestOnly;
    auto withChanges = digestOnly;
    if (auto steps = m_stateMachine.stepsSince(requester.version))
        withChanges.steps = std::move(*steps);
    else
        withChanges.snapshot = m_stateMachine.accepted();
    return m_exchangeLimiter.tryConsume(encodeConfigMessage(withChanges).size(), now) ? withChanges : digestOnly;
}

ConfigDigest ConfigReplica::digest(MonotonicTime now) const
{
    ConfigDigest digest { m_stateMachine.accepted().version, m_stateMachine.accepted().digest, m_options.dataCenter, std::nullopt };
    if (m_confirmedAt)
        digest.confirmedAgo = now - *m_confirmedAt;
    return digest;
}

void ConfigReplica::confirm(MonotonicTime at)
{
    if (m_confirmedAt && *m_confirmedAt >= at)
        return;
    m_confirmedAt = at;
    m_actions.emplace_back(ConfigConfirmed { at });
}

bool ConfigReplica::isConfirmed(MonotonicTime now) const
{
    return m_confirmedAt && now - *m_confirmedAt <= m_options.confirmedFor;
}

void ConfigReplica::report(ConfigFault fault, std::string detail)
{
    m_actions.emplace_back(ReportConfigFault { fault, std::move(detail) });
}

Duration ConfigReplica::randomDuration(Duration low, Duration high)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(low.count(), high.count())(m_random));
}

} // namespace hornbeamgate
