#pragma once

#include <cstdint>
#include <string>

namespace hornbeamgate {

enum class LinkErrorCode : std::uint8_t {
    ConnectFailed, ///< no connection came up; nothing was sent
    VersionMismatch, ///< the other process speaks another version of the link
    StreamReset, ///< the other process or this one reset the stream
    ConnectionLost, ///< the connection broke or was closed
    TimedOut, ///< the connection did not answer a ping in time
    ProtocolError,
};

/// Failure of one stream or of its connection.
struct LinkError {
    LinkErrorCode code = LinkErrorCode::ConnectionLost;
    std::string detail;
    bool sent = true; ///< whether any byte of the stream may have left this process
};

} // namespace hornbeamgate
