#pragma once

#include "hornbeamgate/base/socket_address.hpp"

#include <doctest/doctest.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <string>
#include <thread>

namespace hornbeamgate::gateway::testing {

/// How a server ends a connection whose request it has not read.
enum class ConnectionReset {
    Abort, ///< resets it
    CloseUnread, ///< closes it while there is unread data, which resets it
    FinishThenAbort, ///< closes its own side first
};

inline const char* toString(ConnectionReset how)
{
    constexpr std::array kNames { "abort", "close with unread data", "finish, then abort" };
    return kNames[static_cast<std::size_t>(how)];
}

/// Server in a thread of its own. On each connection it reads the first octet of the request, sends a response, and ends the
/// connection after a delay.
class ResettingServer {
public:
    struct Plan {
        std::string response;
        ConnectionReset how = ConnectionReset::Abort;
        std::chrono::milliseconds delay {};
    };

    explicit ResettingServer(Plan plan)
        : m_plan(std::move(plan))
        , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        auto* raw = reinterpret_cast<sockaddr*>(&address);
        REQUIRE(bind(m_listener, raw, size) == 0);
        REQUIRE(listen(m_listener, 16) == 0);
        REQUIRE(getsockname(m_listener, raw, &size) == 0);
        m_address = { "127.0.0.1", ntohs(address.sin_port) };
        m_thread = std::thread([this] { run(); });
    }

    ~ResettingServer()
    {
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        close(m_listener);
    }

    ResettingServer(const ResettingServer&) = delete;
    ResettingServer& operator=(const ResettingServer&) = delete;

    const SocketAddress& address() const { return m_address; }

private:
    void run()
    {
        for (;;) {
            const int connection = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0)
                return;
            respond(connection);
            close(connection);
        }
    }

    void respond(int connection) const
    {
        char first = 0;
        if (recv(connection, &first, sizeof first, 0) != sizeof first)
            return;
        send(connection, m_plan.response.data(), m_plan.response.size(), MSG_NOSIGNAL);
        if (m_plan.how == ConnectionReset::FinishThenAbort)
            shutdown(connection, SHUT_WR);
        std::this_thread::sleep_for(m_plan.delay);
        if (m_plan.how != ConnectionReset::CloseUnread) {
            const linger abort { 1, 0 };
            setsockopt(connection, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
        }
    }

    Plan m_plan;
    int m_listener;
    SocketAddress m_address;
    std::thread m_thread;
};

} // namespace hornbeamgate::gateway::testing
