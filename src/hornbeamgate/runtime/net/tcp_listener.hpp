#pragma once

#include "hornbeamgate/runtime/net/tcp_stream.hpp"

namespace hornbeamgate::gateway {

/// Listening TCP socket that passes accepted connections to a callback.
class TcpListener {
public:
    using Accepted = std::function<void(std::unique_ptr<TcpStream>)>;

    static Result<std::unique_ptr<TcpListener>, NetError> create(const SocketAddress& address, Accepted accepted);
    ~TcpListener();
    TcpListener(const TcpListener&) = delete;
    TcpListener& operator=(const TcpListener&) = delete;

    /// Bound address; if the requested port was 0, it holds the port chosen by the kernel.
    const SocketAddress& address() const { return m_address; }

private:
    TcpListener(int descriptor, SocketAddress address, Accepted accepted);
    void watch();
    void acceptAll();

    int m_descriptor;
    SocketAddress m_address;
    Accepted m_accepted;
    EventSource m_source;
    Timer m_retryTimer; ///< set while the process has no descriptors left
};

} // namespace hornbeamgate::gateway
