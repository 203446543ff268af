#pragma once

#include "hornbeamgate/base/strong_id.hpp"

namespace hornbeamgate {

/// Customer of an operator; owns keys, a rate and a burst.
using WorkspaceId = StrongName<struct WorkspaceTag>;

/// Public name of a key, used to withdraw it; never the secret itself.
using KeyId = StrongName<struct KeyTag>;

/// Machine that runs one daemon of this system.
using HostId = StrongName<struct HostTag>;

/// Back end: a model engine or an application service.
using EndpointId = StrongName<struct EndpointTag>;

/// Plain application service that several endpoints may offer.
using ServiceId = StrongName<struct ServiceTag>;

/// Model as callers name it.
using ModelId = StrongName<struct ModelTag>;

using RegionId = StrongName<struct RegionTag>;
using DataCenterId = StrongName<struct DataCenterTag>;

/// Unique per process start; a restarted process has a new one.
using Incarnation = StrongNumber<struct IncarnationTag>;

/// Version of the published configuration; grows by one with each accepted change.
using ConfigVersion = StrongNumber<struct ConfigVersionTag>;

/// Version of a model's weights.
using WeightsVersion = StrongNumber<struct WeightsVersionTag>;

/// Number that a newer order for the same target always exceeds.
using FencingToken = StrongNumber<struct FencingTag>;

/// Position in one stream of the append-only log.
using LogOffset = StrongNumber<struct LogOffsetTag>;

/// Request as numbered by the entry daemon that accepted it.
using RequestId = StrongNumber<struct RequestTag>;

} // namespace hornbeamgate
