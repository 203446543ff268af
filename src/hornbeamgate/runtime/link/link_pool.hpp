#pragma once

#include "hornbeamgate/membership/connection_monitor.hpp"
#include "hornbeamgate/runtime/link/link_connection.hpp"

#include <functional>
#include <map>

namespace hornbeamgate {

/// Pool of connections to other processes, one per address. Connections are opened on demand and replaced when they
/// break or stop responding.
class LinkPool {
public:
    using ControlReply = std::function<void(Result<Bytes, LinkError>)>;

    /// `self` is the host that opened streams identify themselves as.
    explicit LinkPool(HostId self);
    LinkPool(const LinkPool&) = delete;
    LinkPool& operator=(const LinkPool&) = delete;
    ~LinkPool();

    /// Opens a stream to `path` at `address`.
    std::unique_ptr<LinkStream> openStream(const SocketAddress& address, std::string_view path);

    /// Sends one control message and calls `reply` once, at `deadline` at the latest, with the response or an error.
    void request(const SocketAddress& address, std::string_view subject, BytesView message, MonotonicTime deadline, ControlReply reply);

    std::size_t connections() const { return m_connections.size(); }
    LinkTraffic traffic() const;

private:
    struct AddressLess {
        bool operator()(const SocketAddress& left, const SocketAddress& right) const;
    };

    /// A connection with the monitor that checks whether it still responds.
    struct PooledConnection;

    PooledConnection& connectionTo(const SocketAddress& address);
    PooledConnection* find(const SocketAddress& address, std::uint64_t number);
    void handleEvent(const SocketAddress& address, std::uint64_t number, const ConnectionEvent& event, MonotonicTime now);
    void armTimer(PooledConnection& pooled);
    void removeConnection(const SocketAddress& address, std::uint64_t number, const LinkError& error);

    HostId m_self;
    std::uint64_t m_lastNumber = 0;
    std::map<SocketAddress, std::unique_ptr<PooledConnection>, AddressLess> m_connections;
    LinkTraffic m_closedTraffic;
};

} // namespace hornbeamgate
