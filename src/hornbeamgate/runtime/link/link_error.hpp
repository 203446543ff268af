#pragma once

#include <cstdint>
#include <string>

namespace hornbeamgate {

enum class LinkErrorCode : std::uint8_t {
    ConnectFailed, ///< the connection was not established; nothing was sent
    VersionMismatch, ///< the peer uses a different version of the link protocol
    StreamReset, ///< either side reset the stream
    ConnectionLost, ///< the connection broke or was closed
    TimedOut, ///< no reply to a ping or control message in time
    ProtocolError,
};

/// Failure of a stream or of its connection.
struct LinkError {
    LinkErrorCode code = LinkErrorCode::ConnectionLost;
    std::string detail;
    bool sent = true; ///< whether any byte of the stream may have left this process
};

} // namespace hornbeamgate
