#pragma once

#include "hornbeamgate/runtime/gateway/directory.hpp"
#include "hornbeamgate/runtime/gateway/gateway_state.hpp"

namespace hornbeamgate::gateway {

/// Keeps what this daemon knows of prompts under which engines crash in the store, and reads what daemons knew before it
/// started. Without this, as many engines would crash again after all daemons have ended.
class QuarantineTask {
public:
    QuarantineTask(GatewayState& state, Directory& directory, HostId self);

    void start();

private:
    void read();
    void apply(const std::vector<StoredObservations>& stored);
    /// Saves the observations if they have changed since the last time, or if the store may have lost them.
    void save();

    GatewayState& m_state;
    Directory& m_directory;
    HostId m_self;
    Timer m_readTimer;
    Timer m_saveTimer;
    std::uint64_t m_savedRevision = 0;
    StoreEra m_savedEra; ///< in which the store acknowledged the last save
};

} // namespace hornbeamgate::gateway
