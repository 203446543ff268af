#include "hornbeamgate/runtime/net/tcp_listener.hpp"

#include "hornbeamgate/runtime/net/internal/socket_calls.hpp"

#include <unistd.h>

namespace hornbeamgate::gateway {

namespace {

    /// Size of the accept queue; large enough for many clients that reconnect at the same time.
    constexpr int kBacklog = 1024;
    /// Limit per main loop iteration, so that a burst of new connections does not stall requests in progress.
    constexpr int kMaxAcceptsPerIteration = 32;
    /// Pause after the process had no descriptor for a new connection; connections end meanwhile.
    constexpr std::chrono::milliseconds kAcceptRetryDelay { 100 };

} // namespace

Result<std::unique_ptr<TcpListener>, NetError> TcpListener::create(const SocketAddress& address, Accepted accepted)
{
    const auto bound = internal::toSockaddr(address);
    if (!bound)
        return failure(NetError { "not an IPv4 address: " + address.ip });
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return failure(NetError { internal::errnoMessage("socket") });
    const int reuse = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
    if (bind(descriptor, internal::asSockaddr(*bound), sizeof *bound) != 0 || listen(descriptor, kBacklog) != 0) {
        auto error = internal::errnoMessage("cannot listen on " + address.text());
        close(descriptor);
        return failure(NetError { std::move(error) });
    }
    sockaddr_in actual {};
    socklen_t size = sizeof actual;
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&actual), &size);
    return std::unique_ptr<TcpListener>(new TcpListener(descriptor, { address.ip, ntohs(actual.sin_port) }, std::move(accepted)));
}

TcpListener::TcpListener(int descriptor, SocketAddress address, Accepted accepted)
    : m_descriptor(descriptor)
    , m_address(std::move(address))
    , m_accepted(std::move(accepted))
    , m_retryTimer([this] { watch(); })
{
    watch();
}

void TcpListener::watch()
{
    m_source = watchReadable(m_descriptor, [this] { acceptAll(); });
}

TcpListener::~TcpListener()
{
    m_source.reset();
    close(m_descriptor);
}

void TcpListener::acceptAll()
{
    for (int i = 0; i < kMaxAcceptsPerIteration; ++i) {
        const int accepted = accept4(m_descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted < 0) {
            // The connection stays in the queue, so the main loop would call this again without end.
            if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
                m_source.reset();
                m_retryTimer.set(MonotonicClock::now() + kAcceptRetryDelay);
            }
            return;
        }
        m_accepted(TcpStream::adopt(accepted));
    }
}

} // namespace hornbeamgate::gateway
