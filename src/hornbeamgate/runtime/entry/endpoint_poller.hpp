#pragma once

#include "hornbeamgate/runtime/entry/endpoint_directory.hpp"
#include "hornbeamgate/runtime/link/link_pool.hpp"

#include <map>
#include <set>
#include <vector>

namespace hornbeamgate {

/// Polls the status of endpoints round-robin: the engines of the given data centres and all services. The duration of a
/// round grows with the number of endpoints, so that the polling traffic stays bounded.
class EndpointPoller {
public:
    EndpointPoller(LinkPool& links, EndpointDirectory& directory, std::set<DataCenterId> dataCenters);

    void start();

private:
    void pollNext();
    /// Returns the endpoints to poll, ordered by endpoint ID.
    std::vector<const DirectoryEntry*> pollTargets() const;
    void poll(const DirectoryEntry& entry);
    void handleReply(const EndpointId& endpoint, const Result<Bytes, LinkError>& answer);

    LinkPool* m_links;
    EndpointDirectory* m_directory;
    std::set<DataCenterId> m_dataCenters;
    EndpointId m_lastPolled;
    std::map<EndpointId, std::uint32_t> m_failures;
    Liveness m_liveness;
    Timer m_timer;
};

} // namespace hornbeamgate
