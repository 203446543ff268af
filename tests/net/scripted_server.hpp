#pragma once

#include "hornbeamgate/runtime/net/tcp_listener.hpp"
#include "runtime/loop_support.hpp"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

namespace hornbeamgate::gateway::testing {

/// Server whose responses are sent byte for byte by the test.
class ScriptedServer {
public:
    ScriptedServer()
    {
        auto listener = TcpListener::create({ "127.0.0.1", 0 }, [this](std::unique_ptr<TcpStream> stream) { add(std::move(stream)); });
        REQUIRE(listener);
        m_listener = std::move(*listener);
    }

    const SocketAddress& address() const { return m_listener->address(); }
    std::size_t connections() const { return m_streams.size(); }
    const std::string& received(std::size_t connection) const { return *m_received.at(connection); }

    /// Returns how often `text` has been received on all connections together.
    std::size_t countReceived(const std::string& text) const
    {
        std::size_t count = 0;
        for (const auto& received : m_received) {
            for (auto at = received->find(text); at != std::string::npos; at = received->find(text, at + text.size()))
                ++count;
        }
        return count;
    }

    /// Waits until `text` has been received on the connection.
    void waitFor(std::size_t connection, const std::string& text)
    {
        REQUIRE(hornbeamgate::testing::runUntil([&] { return m_received.size() > connection && m_received[connection]->find(text) != std::string::npos; }));
    }

    void send(std::size_t connection, std::string_view octets) { m_streams.at(connection)->send(octets); }
    /// Closes the connection in an orderly way.
    void finish(std::size_t connection) { m_streams.at(connection)->finishSending(); }
    /// Closes the socket, which resets the connection if there is unread data.
    void drop(std::size_t connection) { m_streams.at(connection).reset(); }
    /// Leaves the data of later connections unread, so that drop() resets them.
    void pauseReading() { m_isReadingPaused = true; }
    void resumeReading(std::size_t connection) { m_streams.at(connection)->pauseReading(false); }
    void waitForUnreadData(std::size_t connection)
    {
        // Arriving data does not wake the main loop while reading is paused.
        Timer poll([&] { poll.set(MonotonicClock::now() + std::chrono::milliseconds(5)); });
        poll.set(MonotonicClock::now());
        REQUIRE(hornbeamgate::testing::runUntil([&] { return m_streams.size() > connection && !m_streams[connection]->hasNoInput(); }));
    }
    std::size_t unsent(std::size_t connection) const { return m_streams.at(connection)->unsent(); }
    bool hasEnded(std::size_t connection) const { return *m_ended.at(connection); }

private:
    void add(std::unique_ptr<TcpStream> stream)
    {
        auto received = std::make_shared<std::string>();
        auto ended = std::make_shared<bool>(false);
        stream->setHandlers({ {}, [received](std::string_view octets) { *received += octets; }, [ended](StreamEnd, const std::string&) { *ended = true; } });
        stream->pauseReading(m_isReadingPaused);
        m_received.push_back(received);
        m_ended.push_back(ended);
        m_streams.push_back(std::move(stream));
    }

    bool m_isReadingPaused = false;
    std::unique_ptr<TcpListener> m_listener;
    std::vector<std::unique_ptr<TcpStream>> m_streams;
    std::vector<std::shared_ptr<std::string>> m_received;
    std::vector<std::shared_ptr<bool>> m_ended;
};

} // namespace hornbeamgate::gateway::testing
