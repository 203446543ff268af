#pragma once

#include "hornbeamgate/runtime/net/http_parser.hpp"
#include "hornbeamgate/runtime/net/tcp_listener.hpp"

#include <map>
#include <memory>
#include <string>

namespace hornbeamgate::testing {

/// Engine whose response depends on the path of the request. It discards request bodies.
class ScriptedEngine {
public:
    ScriptedEngine();

    const SocketAddress& address() const { return m_listener->address(); }

private:
    /// Connection whose current response is `head`, then `unit` until `bytesLeft` are sent. An endless response has more
    /// bytes left than any test waits for.
    struct Connection {
        std::unique_ptr<gateway::TcpStream> stream;
        std::unique_ptr<gateway::HttpParser> parser;
        gateway::HttpRequestHead request;
        std::string unit;
        std::size_t bytesLeft = 0;
    };

    void add(std::unique_ptr<gateway::TcpStream> stream);
    static void respond(Connection& connection);
    static void sendMore(Connection& connection);

    std::unique_ptr<gateway::TcpListener> m_listener;
    std::map<const Connection*, std::unique_ptr<Connection>> m_connections;
};

} // namespace hornbeamgate::testing
