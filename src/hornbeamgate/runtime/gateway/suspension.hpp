#pragma once

#include "hornbeamgate/base/time.hpp"

namespace hornbeamgate::gateway {

/// Returns the total time the host has been suspended since boot. The monotonic clock excludes this time, but leases
/// granted by other hosts keep running during it.
Duration suspendedTime();

} // namespace hornbeamgate::gateway
