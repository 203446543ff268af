#pragma once

#include <string_view>

namespace hornbeamgate {

/// Release of this library, as `major.minor.patch`.
std::string_view version();

} // namespace hornbeamgate
