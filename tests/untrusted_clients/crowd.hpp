#pragma once

#include "hornbeamgate/base/socket_address.hpp"

#include <poll.h>

#include <cstddef>
#include <string>
#include <vector>

namespace hornbeamgate::testing {

/// Bytes that a client sends: `prefix`, then `unit` `repeats` times, then `suffix`. The connection stays open afterwards.
struct ClientScript {
    std::string prefix;
    std::string unit {};
    std::size_t repeats = 0;
    std::string suffix {};
    bool reads = true; ///< reads and discards what the server sends
    std::size_t maxWrite = 65536; ///< bytes per write
};

/// Returns `text` repeated until it has about `size` bytes.
std::string repeated(const std::string& text, std::size_t size);

/// Clients on nonblocking sockets, driven by the test's own loop.
class Crowd {
public:
    Crowd() = default;
    ~Crowd();
    Crowd(const Crowd&) = delete;
    Crowd& operator=(const Crowd&) = delete;

    /// Opens `count` connections that send `script`, which has to outlive the crowd.
    void add(const SocketAddress& server, std::size_t count, const ClientScript& script);

    /// Sends and reads what the sockets take now. Returns whether any byte was moved or any connection ended.
    bool advance();
    /// Whether every client has sent everything or was cut off.
    bool isDone() const;

private:
    struct Client {
        int descriptor;
        const ClientScript* script;
        std::size_t sent = 0;
        bool hasEnded = false;

        std::size_t size() const { return script->prefix.size() + script->unit.size() * script->repeats + script->suffix.size(); }
        bool mustSend() const { return !hasEnded && sent < size(); }
    };

    static bool sendNext(Client& client);
    static bool receive(Client& client);
    static void end(Client& client);

    std::vector<Client> m_clients;
    std::vector<pollfd> m_polled;
};

} // namespace hornbeamgate::testing
