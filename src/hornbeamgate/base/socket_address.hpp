#pragma once

#include <cstdint>
#include <string>

namespace hornbeamgate {

/// Socket address by IP number.
struct SocketAddress {
    std::string ip;
    std::uint16_t port = 0; ///< 0 asks the kernel for a free port

    bool operator==(const SocketAddress&) const = default;
    std::string text() const { return ip + ':' + std::to_string(port); }
};

} // namespace hornbeamgate
