#pragma once

#include "hornbeamgate/gateway/peer_report.hpp"
#include "hornbeamgate/runtime/gateway/directory.hpp"
#include "hornbeamgate/runtime/gateway/gateway_state.hpp"

#include <array>
#include <map>

namespace hornbeamgate::gateway {

/// Keeps this daemon's copy of the directory up to date and puts what it says in force.
class DirectoryTask {
public:
    DirectoryTask(GatewayState& state, Directory& directory, DaemonEntry self);

    void start();
    /// The daemon drains: it keeps a duty that it holds until it ends, and takes none.
    void onDrainStarted();
    /// Gives the duty up for good, so that others can take it before the registration is withdrawn.
    void resignDuty(std::function<void()> done);
    /// Withdraws this daemon's registration; `done` comes when the store has it, or has not answered.
    void withdraw(std::function<void()> done);

    /// Another daemon says that it holds the duty.
    void onDutyHeldByPeer(MonotonicTime now);
    /// Another daemon says how often it gave the duty up.
    void onPeerResignations(const PeerReport& report, MonotonicTime now);

    /// Takes records that another daemon passed on.
    void applyPeerRecords(DirectoryTopic topic, const std::vector<DirectoryRecord>& records);
    /// True when the store has not answered about `topic` lately, so that other daemons may know more.
    bool isStale(DirectoryTopic topic, MonotonicTime now) const;
    const DirectoryReplica& replica() const { return m_replica; }
    bool isComplete() const;

private:
    struct TopicWatcher {
        explicit TopicWatcher(std::function<void()> poll)
            : timer(std::move(poll))
        {
        }
        Timer timer;
        bool hasListing = false;
        LogOffset next;
        int failuresInRow = 0;
        std::optional<MonotonicTime> answeredAt;
    };

    void poll(DirectoryTopic topic);
    /// Between an answer and the next call.
    Duration pollInterval(DirectoryTopic topic) const;
    void onPage(DirectoryTopic topic, bool isListing, const Result<DirectoryPage, DirectoryError>& page);
    void apply(DirectoryTopic topic, const DirectoryRecord& record);
    void removeRecord(DirectoryTopic topic, const std::string& key);
    void put(FleetConfig config);
    void put(const WeightsTarget& target);
    void put(EndpointEntry entry);
    void put(const DaemonEntry& entry);
    void registerDaemon();
    void updateDutyMembership();
    void onDutyAssignment(const DutyAssignment& assignment, MonotonicTime end, MonotonicTime now);
    /// `done` comes when the store has answered, at once for a daemon that is no member.
    void leaveDutyGroup(std::function<void()> done);
    void expireEndpoints();
    /// Drops what was learnt of an endpoint that is gone or started again.
    void forgetEndpoint(const EndpointId& id);
    TopicWatcher& watcher(DirectoryTopic topic) { return *m_watchers[static_cast<std::size_t>(topic)]; }

    GatewayState& m_state;
    Directory& m_directory;
    DaemonEntry m_self;
    DirectoryReplica m_replica;
    std::array<std::unique_ptr<TopicWatcher>, kDirectoryTopics> m_watchers;
    std::map<std::string, EndpointId> m_endpointsByKey;
    std::map<std::string, HostId> m_daemonsByKey;
    Timer m_registrationTimer;
    Timer m_dutyTimer;
    Timer m_expiryTimer;
    bool m_isDutyHolder = false;
    bool m_isDutyMember = false;
    bool m_hasResigned = false;
    std::map<Incarnation, std::uint64_t> m_resignations; ///< by daemon
    MonotonicTime m_holderLastSeen = MonotonicClock::now(); ///< or the start of this daemon
};

} // namespace hornbeamgate::gateway
