#pragma once

#include "hornbeamgate/runtime/gateway/directory.hpp"
#include "hornbeamgate/runtime/gateway/directory_task.hpp"

#include <map>

namespace hornbeamgate::gateway {

/// Writes the states of version rollouts that this daemon has to write, and logs what becomes of the rollouts.
///
/// Each write reads the end of the status topic and the newest state of the service first, and appends only if the topic
/// still ends there. A write that failed is not repeated as such: the state machine asks for the state again if it is still
/// due, and the store is read again before. So a late or repeated append never replaces a state that was written meanwhile.
///
/// Designed for a store that loses responses, executes calls late or is down, and for several daemons that write at the same
/// time.
class VersionRolloutTask {
public:
    VersionRolloutTask(GatewayState& state, Directory& directory, DirectoryTask& records);

    /// Does nothing if version rollouts are off.
    void start();

private:
    void tick();
    void logEvents();
    void updateMetrics();
    void collectWrites(MonotonicTime now);
    /// Starts the next write unless one is in progress.
    void writeNext();
    void onStatusRead(const RolloutStatus& wanted, const Result<DirectoryPage, DirectoryError>& page, MonotonicTime sentAt);
    void onAppended(const RolloutStatus& written, const Result<LogOffset, DirectoryError>& end);
    void onCallFailed(const RolloutStatus& wanted, std::string_view call, const DirectoryError& error);
    /// Returns whether the state may follow the newest one in the store.
    bool maySucceed(const RolloutStatus& wanted, const DirectoryPage& page) const;
    /// Returns whether the state is still right, since the verdict, the order or the leader may have changed during the read.
    bool isStillDue(const RolloutStatus& wanted, MonotonicTime now) const;

    GatewayState& m_state;
    Directory& m_directory;
    DirectoryTask& m_records;
    std::map<ServiceId, RolloutStatus> m_due; ///< states to write, of which the newest of a service counts
    bool m_isWriting = false;
    RolloutCounters m_counted; ///< as of the last update of the metrics
    Timer m_timer;
};

} // namespace hornbeamgate::gateway
