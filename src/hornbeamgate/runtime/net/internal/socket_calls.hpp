#pragma once

#include "hornbeamgate/base/socket_address.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeamgate::gateway::internal {

inline std::optional<sockaddr_in> toSockaddr(const SocketAddress& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr) != 1)
        return std::nullopt;
    return result;
}

inline const sockaddr* asSockaddr(const sockaddr_in& address)
{
    return reinterpret_cast<const sockaddr*>(&address);
}

inline std::string errnoMessage(std::string_view call)
{
    return std::string(call) + ": " + std::strerror(errno);
}

} // namespace hornbeamgate::gateway::internal
