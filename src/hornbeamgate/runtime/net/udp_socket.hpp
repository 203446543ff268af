#pragma once

#include "hornbeamgate/runtime/net/tcp_stream.hpp"

namespace hornbeamgate::gateway {

/// Bound UDP socket.
class UdpSocket {
public:
    using Received = std::function<void(std::string_view)>;

    static Result<std::unique_ptr<UdpSocket>, NetError> create(const SocketAddress& address, Received received);
    ~UdpSocket();
    UdpSocket(const UdpSocket&) = delete;
    UdpSocket& operator=(const UdpSocket&) = delete;

    /// Sends one datagram. Send failures are ignored, since datagrams may be lost in the network anyway.
    void send(const SocketAddress& peer, std::string_view octets);

private:
    UdpSocket(int descriptor, Received received);
    void receiveAll();

    int m_descriptor;
    Received m_received;
    EventSource m_source;
};

} // namespace hornbeamgate::gateway
