#pragma once

#include "hornbeamgate/runtime/entry/endpoint_directory.hpp"
#include "hornbeamgate/runtime/link/link_pool.hpp"

#include <map>
#include <set>
#include <vector>

namespace hornbeamgate {

/// Asks the agents of the endpoints for their status in turn: engines of the data centres that may be chosen, and all
/// services. The more endpoints there are, the longer a round takes, so that the traffic stays bounded.
class EndpointPoller {
public:
    EndpointPoller(LinkPool& links, EndpointDirectory& directory, std::set<DataCenterId> dataCenters);

    void start();

private:
    void pollNext();
    /// Endpoints to ask, in the order of their names.
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
