#include "untrusted_clients/crowd.hpp"

#include "hornbeamgate/runtime/net/internal/socket_calls.hpp"

#include <doctest/doctest.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace hornbeamgate::testing {

namespace {

    /// Bytes that the kernel keeps for a client that reads nothing; the rest has to wait in the server.
    constexpr int kReceiveBuffer = 4096;

    /// The part of the script's bytes that starts at `at` and lies in one piece of memory.
    std::string_view pieceAt(const ClientScript& script, std::size_t at)
    {
        if (at < script.prefix.size())
            return std::string_view(script.prefix).substr(at);
        at -= script.prefix.size();
        if (at < script.unit.size() * script.repeats)
            return std::string_view(script.unit).substr(at % script.unit.size());
        at -= script.unit.size() * script.repeats;
        return std::string_view(script.suffix).substr(at);
    }

} // namespace

std::string repeated(const std::string& text, std::size_t size)
{
    std::string result;
    while (result.size() + text.size() <= size)
        result += text;
    return result;
}

Crowd::~Crowd()
{
    for (auto& client : m_clients)
        end(client);
}

void Crowd::add(const SocketAddress& server, std::size_t count, const ClientScript& script)
{
    const auto address = gateway::internal::toSockaddr(server);
    REQUIRE(address);
    for (std::size_t i = 0; i < count; ++i) {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        REQUIRE(descriptor >= 0);
        if (!script.reads)
            setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer, sizeof kReceiveBuffer);
        const bool isConnected = connect(descriptor, gateway::internal::asSockaddr(*address), sizeof *address) == 0;
        REQUIRE((isConnected || errno == EINPROGRESS));
        m_clients.push_back({ descriptor, &script });
    }
}

bool Crowd::advance()
{
    constexpr int kWaitMilliseconds = 1;
    m_polled.clear();
    for (const auto& client : m_clients) {
        const int events = (client.mustSend() ? POLLOUT : 0) | (client.script->reads ? POLLIN : 0);
        m_polled.push_back({ client.hasEnded ? -1 : client.descriptor, static_cast<short>(events), 0 });
    }
    poll(m_polled.data(), m_polled.size(), kWaitMilliseconds);
    bool hasMoved = false;
    for (std::size_t i = 0; i < m_clients.size(); ++i) {
        auto& client = m_clients[i];
        const auto events = m_polled[i].revents;
        if (events & POLLIN)
            hasMoved |= receive(client);
        if ((events & POLLOUT) && client.mustSend())
            hasMoved |= sendNext(client);
        if ((events & (POLLERR | POLLHUP)) && !client.hasEnded) {
            end(client);
            hasMoved = true;
        }
    }
    return hasMoved;
}

bool Crowd::isDone() const
{
    return std::none_of(m_clients.begin(), m_clients.end(), [](const Client& client) { return client.mustSend(); });
}

bool Crowd::sendNext(Client& client)
{
    const auto piece = pieceAt(*client.script, client.sent).substr(0, client.script->maxWrite);
    const auto count = send(client.descriptor, piece.data(), piece.size(), MSG_NOSIGNAL);
    if (count > 0)
        client.sent += static_cast<std::size_t>(count);
    else if (errno != EAGAIN)
        end(client);
    return count > 0;
}

bool Crowd::receive(Client& client)
{
    std::array<char, 65536> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
    const auto count = recv(client.descriptor, buffer.data(), buffer.size(), 0);
    if (count == 0 || (count < 0 && errno != EAGAIN))
        end(client);
    return count >= 0;
}

void Crowd::end(Client& client)
{
    if (!client.hasEnded)
        close(client.descriptor);
    client.hasEnded = true;
}

} // namespace hornbeamgate::testing
