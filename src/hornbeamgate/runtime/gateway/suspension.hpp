#pragma once

#include "hornbeamgate/base/time.hpp"

namespace hornbeamgate::gateway {

/// Time that the host was suspended since it started, which the monotonic clock leaves out. Leases that others grant
/// run on meanwhile.
Duration suspendedTime();

} // namespace hornbeamgate::gateway
