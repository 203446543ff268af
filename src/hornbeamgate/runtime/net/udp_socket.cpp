#include "hornbeamgate/runtime/net/udp_socket.hpp"

#include "hornbeamgate/runtime/net/internal/socket_calls.hpp"

#include <unistd.h>

#include <array>

namespace hornbeamgate::gateway {

namespace {

    constexpr std::size_t kMaxDatagramBytes = 65536;
    /// Maximum number of datagrams handled per main loop iteration.
    constexpr int kMaxDatagramsPerIteration = 64;

} // namespace

Result<std::unique_ptr<UdpSocket>, NetError> UdpSocket::create(const SocketAddress& address, Received received)
{
    const auto bound = internal::toSockaddr(address);
    if (!bound)
        return failure(NetError { "not an IPv4 address: " + address.ip });
    const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return failure(NetError { internal::errnoMessage("socket") });
    if (bind(descriptor, internal::asSockaddr(*bound), sizeof *bound) != 0) {
        auto error = internal::errnoMessage("cannot bind " + address.text());
        close(descriptor);
        return failure(NetError { std::move(error) });
    }
    return std::unique_ptr<UdpSocket>(new UdpSocket(descriptor, std::move(received)));
}

UdpSocket::UdpSocket(int descriptor, Received received)
    : m_descriptor(descriptor)
    , m_received(std::move(received))
{
    m_source = watchReadable(descriptor, [this] { receiveAll(); });
}

UdpSocket::~UdpSocket()
{
    m_source.reset();
    close(m_descriptor);
}

void UdpSocket::send(const SocketAddress& peer, std::string_view octets)
{
    const auto address = internal::toSockaddr(peer);
    if (!address)
        return;
    sendto(m_descriptor, octets.data(), octets.size(), MSG_NOSIGNAL, internal::asSockaddr(*address), sizeof *address);
}

void UdpSocket::receiveAll()
{
    std::array<char, kMaxDatagramBytes> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
    for (int i = 0; i < kMaxDatagramsPerIteration; ++i) {
        const auto count = recv(m_descriptor, buffer.data(), buffer.size(), 0);
        if (count < 0)
            return;
        m_received({ buffer.data(), static_cast<std::size_t>(count) });
    }
}

} // namespace hornbeamgate::gateway
