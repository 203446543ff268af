#pragma once

#include "hornbeamgate/base/cbor.hpp"
#include "hornbeamgate/base/ids.hpp"

#include <cstdint>
#include <vector>

namespace hornbeamgate {

enum class EndpointState : std::uint8_t {
    Up, ///< accepts new runs
    Leaving, ///< completes its current runs and accepts no new ones
    Down, ///< does not respond to its agent
};

/// Model that an engine serves, with its weights version.
struct LoadedModel {
    ModelId model;
    WeightsVersion weights;

    bool operator==(const LoadedModel&) const = default;
};

/// Status of an endpoint as reported by its agent.
struct EndpointStatus {
    EndpointId endpoint;
    ServiceId service; ///< empty if the endpoint is an engine
    Incarnation incarnation; ///< incarnation of the engine; for a service, its agent's incarnation
    EndpointState state = EndpointState::Down;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::vector<LoadedModel> models;

    bool operator==(const EndpointStatus&) const = default;
};

Bytes encodeEndpointStatus(const EndpointStatus& status);
Result<EndpointStatus, CodecError> decodeEndpointStatus(BytesView bytes);

} // namespace hornbeamgate
