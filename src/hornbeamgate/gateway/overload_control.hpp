#pragma once

#include "hornbeamgate/base/ids.hpp"

#include <set>

namespace hornbeamgate::gateway {

/// Tells for which services requests compete for capacity, so that admission and placement have to follow the capacity of
/// each engine: for all services if the operator says so, else for those whose engines share their machines.
class OverloadControl {
public:
    explicit OverloadControl(bool isAlwaysOn)
        : m_isAlwaysOn(isAlwaysOn)
    {
    }

    /// Records that an engine of the service states how much its machine is slowed down. Returns true if this was not known.
    bool recordSharedMachine(const ServiceId& service) { return m_sharedServices.insert(service).second; }
    bool isAnyOn() const { return m_isAlwaysOn || !m_sharedServices.empty(); }
    bool isOn(const ServiceId& service) const { return m_isAlwaysOn || m_sharedServices.contains(service); }

private:
    bool m_isAlwaysOn;
    std::set<ServiceId> m_sharedServices;
};

} // namespace hornbeamgate::gateway
