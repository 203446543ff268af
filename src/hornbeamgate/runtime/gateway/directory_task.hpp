#pragma once

#include "hornbeamgate/gateway/peer_report.hpp"
#include "hornbeamgate/gateway/rollout_election.hpp"
#include "hornbeamgate/gateway/topic_poll.hpp"
#include "hornbeamgate/runtime/gateway/directory.hpp"
#include "hornbeamgate/runtime/gateway/gateway_state.hpp"

#include <array>
#include <map>

namespace hornbeamgate::gateway {

/// Keeps this daemon's replica of the directory up to date, applies its records to the gateway state, and maintains the
/// daemon's registration and its membership in the rollout group.
class DirectoryTask {
public:
    DirectoryTask(GatewayState& state, Directory& directory, DaemonEntry self);

    void start();
    /// Called when the daemon starts to drain: a rollout leader remains leader until shutdown,
    /// but a draining daemon does not become leader.
    void onDrainStarted();
    /// Gives up leadership permanently, so that another daemon can take over before the registration is removed.
    void resignLeadership(std::function<void()> done);
    /// Removes this daemon's registration. Calls `done` when the store has responded or the call has failed.
    void withdraw(std::function<void()> done);

    /// Called with each report of another daemon.
    void onPeerReport(const PeerReport& report, MonotonicTime now);
    LeadershipReport leadershipReport(MonotonicTime now) const;

    /// Applies records of the store, which may come from another daemon.
    void applyRecords(DirectoryTopic topic, const std::vector<DirectoryRecord>& records);
    /// Returns true if the store has not responded for `topic` recently, so that other daemons may have newer records.
    bool isStale(DirectoryTopic topic, MonotonicTime now) const;
    const DirectoryReplica& replica() const { return m_replica; }
    /// Returns whether this daemon reads the topic.
    bool follows(DirectoryTopic topic) const;
    /// Returns whether this daemon knows enough to serve requests.
    bool isComplete() const;

private:
    struct TopicWatcher {
        explicit TopicWatcher(std::function<void()> onTimer)
            : timer(std::move(onTimer))
        {
        }
        Timer timer;
        TopicPoll poll;
    };

    void poll(DirectoryTopic topic);
    PollPolicy pollPolicy(DirectoryTopic topic) const;
    void onPage(DirectoryTopic topic, bool isListing, const DirectoryPage& page);
    void onCallFailed(DirectoryTopic topic, const DirectoryError& error);
    /// Handles the first records of an era. The store may have lost what this daemon wrote before.
    void onEraBegan(DirectoryTopic topic, StoreEra era, MonotonicTime now);
    /// Returns withdrawals for the known keys that a complete listing lacks.
    std::vector<DirectoryRecord> findWithdrawn(DirectoryTopic topic, const DirectoryPage& listing, MonotonicTime now) const;
    void apply(DirectoryTopic topic, const DirectoryRecord& record);
    void removeRecord(DirectoryTopic topic, const std::string& key);
    void applyUnreadable(DirectoryTopic topic, const DirectoryRecord& record);
    /// Returns whether a value is older than the one in force, as a store that has come back from a copy lists it.
    bool isOutdated(const FleetConfig& config) const;
    bool isOutdated(const WeightsTarget& target) const;
    bool isOutdated(const EndpointEntry& entry) const { return m_state.registry.isOutdated(entry); }
    template <typename Item>
    bool isOutdated(const Item&) const
    {
        return false;
    }
    void put(FleetConfig config);
    void put(const WeightsTarget& target);
    void put(EndpointEntry entry);
    void put(const DaemonEntry& entry);
    /// Returns why the endpoint enters slow start, if it does, where `known` is its present entry.
    std::optional<PaceCause> paceCause(const EndpointEntry* known, const EndpointEntry& entry);
    void put(const RolloutOrder& order);
    void put(const RolloutStatus& status);
    void removeRolloutOrder(const std::string& key);
    /// Handles a key that a store which has come back no longer lists. Returns whether it is that of a rollout's order.
    bool loseRolloutOrder(const std::string& key) const;
    void endpointsChanged();
    /// Returns whether the states of version rollouts are known, or the store has been silent about them for so long that
    /// the daemon has to do without.
    bool isStatusSettled(MonotonicTime now) const;
    void registerDaemon();
    /// Tries to become leader immediately if this host was the leader before the daemon started.
    void resumeLeadership();
    void updateMembership();
    void onMembershipRenewed(const RolloutMembership& membership, MonotonicTime end, MonotonicTime now);
    void renewMembership(MonotonicTime now);
    /// Calls `done` when the store has responded.
    void leaveRolloutGroup(std::function<void()> done);
    void expireEndpoints();
    /// Discards the load and cache state of an endpoint that is gone or was restarted.
    void forgetEndpoint(const EndpointId& id);
    TopicWatcher& watcher(DirectoryTopic topic) { return *m_watchers[static_cast<std::size_t>(topic)]; }

    GatewayState& m_state;
    Directory& m_directory;
    DaemonEntry m_self;
    DirectoryReplica m_replica;
    std::array<std::unique_ptr<TopicWatcher>, kDirectoryTopics> m_watchers;
    StoreEra m_registeredEra; ///< in which the store acknowledged the registration
    bool m_isWithdrawn = false;
    Timer m_registrationTimer;
    Timer m_membershipTimer;
    Timer m_resumptionTimer;
    Timer m_expiryTimer;
    MonotonicTime m_startedAt = MonotonicClock::now();
    RolloutElection m_election { m_startedAt };
    std::uint64_t m_lastRenewal = 0;
    std::uint64_t m_lastSettledRenewal = 0; ///< responses to renewals up to this one are ignored
};

} // namespace hornbeamgate::gateway
