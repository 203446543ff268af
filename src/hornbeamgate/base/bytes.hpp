#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace hornbeamgate {

/// Owned octets, such as an encoded message.
using Bytes = std::vector<std::uint8_t>;

/// Borrowed octets; valid only during the call that receives them.
using BytesView = std::span<const std::uint8_t>;

} // namespace hornbeamgate
