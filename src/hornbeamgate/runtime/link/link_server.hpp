#pragma once

#include "hornbeamgate/runtime/link/link_connection.hpp"

#include <functional>
#include <list>
#include <string>
#include <unordered_map>

namespace hornbeamgate {

/// Handles one control message from the host `from`. `reply` is called once, possibly later.
using ControlHandler = std::function<void(const HostId& from, BytesView message, std::function<void(Bytes)> reply)>;

/// Takes ownership of a stream opened by the host `from`.
using StreamHandler = std::function<void(std::unique_ptr<LinkStream> stream, const HostId& from)>;

/// Accepts connections from other processes and dispatches their streams to the handlers by path.
class LinkServer {
public:
    /// Returns an error message if the address cannot be bound.
    static Result<std::unique_ptr<LinkServer>, std::string> create(const SocketAddress& address);
    ~LinkServer();
    LinkServer(const LinkServer&) = delete;
    LinkServer& operator=(const LinkServer&) = delete;

    void addStreamHandler(std::string path, StreamHandler handler);
    void addControlHandler(const std::string& subject, ControlHandler handler);

    /// Bound address with the actual port.
    const SocketAddress& address() const { return m_address; }
    /// Stops accepting connections and asks the clients not to open further streams.
    void stopAccepting();
    std::size_t connections() const { return m_connections.size(); }

private:
    explicit LinkServer(const SocketAddress& address);

    void accept(GObjectPtr<GSocketConnection> connection);
    void dispatch(std::unique_ptr<LinkStream> stream, std::string_view path, const HostId& from);

    static gboolean incoming(GSocketService*, GSocketConnection* connection, GObject*, gpointer self);

    SocketAddress m_address;
    GObjectPtr<GSocketService> m_service;
    std::list<std::unique_ptr<LinkConnection>> m_connections;
    std::unordered_map<std::string, StreamHandler> m_handlers;
};

} // namespace hornbeamgate
