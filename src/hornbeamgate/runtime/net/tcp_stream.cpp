#include "hornbeamgate/runtime/net/tcp_stream.hpp"

#include "hornbeamgate/runtime/net/internal/socket_calls.hpp"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace hornbeamgate::gateway {

namespace {

    /// TCP_USER_TIMEOUT of connections to servers. An unresponsive path is detected well within the shortest request
    /// deadline, and three retransmissions on the longest path still fit. Not set for accepted connections, because
    /// clients may be slow to read.
    constexpr std::chrono::milliseconds kUnacknowledgedDataTimeout { 1200 };
    /// Idle time before the first keep-alive probe and interval between probes.
    constexpr std::chrono::seconds kProbeInterval { 1 };
    /// Number of unanswered keep-alive probes after which the connection is dropped.
    constexpr int kMaxUnansweredProbes = 2;
    /// Interval of the checks whether the peer has acknowledged all data. The kernel reports only errors.
    constexpr std::chrono::milliseconds kAcknowledgementCheckInterval { 10 };
    /// Maximum number of bytes per read; holds a few long prompts.
    constexpr std::size_t kReadSize = 65536;
    /// Shared bodies up to this size are copied behind their heads, so that both leave in one segment.
    constexpr std::size_t kMaxJoinedBody = 16384;
    /// Number of sent bytes at the front of the send buffer above which it is compacted.
    constexpr std::size_t kCompactionSize = 65536;

    void setOption(int descriptor, int level, int name, int value)
    {
        setsockopt(descriptor, level, name, &value, sizeof value);
    }

    void setProbes(int descriptor)
    {
        setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
        setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(kProbeInterval.count()));
        setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(kProbeInterval.count()));
        setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kMaxUnansweredProbes);
    }

    /// GSource with a pointer to its stream.
    struct StreamSource {
        GSource base;
        TcpStream* stream;
    };

} // namespace

Result<std::unique_ptr<TcpStream>, NetError> TcpStream::connect(const SocketAddress& peer, MonotonicTime deadline, UnresponsivePeer unresponsivePeer)
{
    const auto address = internal::toSockaddr(peer);
    if (!address)
        return failure(NetError { "not an IPv4 address: " + peer.ip });
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return failure(NetError { internal::errnoMessage("socket") });
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    if (unresponsivePeer == UnresponsivePeer::Disconnect) {
        setProbes(descriptor);
        setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(kUnacknowledgedDataTimeout.count()));
    }
    auto stream = std::unique_ptr<TcpStream>(new TcpStream(descriptor));
    if (::connect(descriptor, internal::asSockaddr(*address), sizeof *address) != 0 && errno != EINPROGRESS)
        return failure(NetError { internal::errnoMessage("connect") });
    stream->m_connectTimer.set(deadline);
    stream->updateInterest();
    return stream;
}

std::unique_ptr<TcpStream> TcpStream::adopt(int descriptor)
{
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setProbes(descriptor);
    auto stream = std::unique_ptr<TcpStream>(new TcpStream(descriptor));
    stream->m_isConnected = true;
    stream->updateInterest();
    return stream;
}

TcpStream::TcpStream(int descriptor)
    : m_descriptor(descriptor)
    , m_connectTimer([this] { end(StreamEnd::Refused, "connecting timed out"); })
    , m_acknowledgementTimer([this] { endAfterInput(); })
{
    static GSourceFuncs functions { nullptr, nullptr, dispatch, nullptr, nullptr, nullptr };
    auto* source = g_source_new(&functions, sizeof(StreamSource));
    reinterpret_cast<StreamSource*>(source)->stream = this;
    m_tag = g_source_add_unix_fd(source, descriptor, GIOCondition(0));
    g_source_attach(source, nullptr);
    m_source = EventSource(source);
}

TcpStream::~TcpStream()
{
    m_source.reset();
    close(m_descriptor);
}

void TcpStream::send(std::string_view octets)
{
    if (m_sendFailure)
        return;
    // What follows a shared body is rare and small, so the rest of the body is copied then.
    if (m_body) {
        buffer(unsentBody());
        m_body.reset();
    }
    if (m_isConnected && unsent() == 0)
        octets.remove_prefix(write(octets));
    buffer(octets);
    if (m_isConnected)
        flush();
}

void TcpStream::send(std::string_view octets, std::shared_ptr<const std::string> body)
{
    if (body->size() <= kMaxJoinedBody) {
        send(std::string(octets) + *body);
        return;
    }
    send(octets);
    if (m_sendFailure)
        return;
    m_body = std::move(body);
    m_bodyOffset = 0;
    if (m_isConnected)
        flush();
}

void TcpStream::buffer(std::string_view octets)
{
    if (!octets.empty())
        m_unsent += octets;
}

bool TcpStream::hasNoInput() const
{
    if (m_hasEnded)
        return false;
    char octet = 0;
    return recv(m_descriptor, &octet, sizeof octet, MSG_PEEK) < 0 && errno == EAGAIN;
}

void TcpStream::pauseReading(bool paused)
{
    m_isReadingPaused = paused;
    updateInterest();
}

void TcpStream::finishSending()
{
    m_finishAfterFlush = true;
    if (m_isConnected && unsent() == 0)
        shutdown(m_descriptor, SHUT_WR);
}

gboolean TcpStream::dispatch(GSource* source, GSourceFunc, gpointer)
{
    auto* stream = reinterpret_cast<StreamSource*>(source)->stream;
    stream->onReady(g_source_query_unix_fd(source, stream->m_tag));
    return G_SOURCE_CONTINUE;
}

void TcpStream::onReady(GIOCondition condition)
{
    const auto alive = m_liveness.watch();
    if (!m_isConnected) {
        finishConnecting();
        return;
    }
    if (condition & G_IO_OUT) {
        flush();
        const auto handlers = m_handlers;
        if (unsent() == 0 && handlers->drained)
            handlers->drained();
    }
    if (alive.expired() || m_hasEnded)
        return;
    if (m_hasInputEnded) {
        flush();
        endAfterInput();
        return;
    }
    if (condition & (G_IO_IN | G_IO_HUP | G_IO_ERR))
        read();
}

void TcpStream::finishConnecting()
{
    if (const int error = socketError(); error != 0) {
        end(StreamEnd::Refused, std::strerror(error));
        return;
    }
    m_isConnected = true;
    m_connectTimer.clear();
    const auto alive = m_liveness.watch();
    const auto handlers = m_handlers;
    if (handlers->connected)
        handlers->connected();
    if (!alive.expired())
        flush();
}

void TcpStream::read()
{
    std::array<char, kReadSize> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
    const auto count = recv(m_descriptor, buffer.data(), buffer.size(), 0);
    if (count > 0) {
        m_lastProgress = MonotonicClock::now();
        const auto handlers = m_handlers;
        handlers->received({ buffer.data(), static_cast<std::size_t>(count) });
        return;
    }
    if (count == 0) {
        m_hasInputEnded = true;
        updateInterest();
        endAfterInput();
        return;
    }
    if (errno != EAGAIN && errno != EINTR)
        end(StreamEnd::Broken, internal::errnoMessage("recv"));
}

void TcpStream::endAfterInput()
{
    // The socket reports the error of its connection once, and after that only the end of the data. If sending got the error,
    // reading cannot tell a reset from an orderly close.
    takeSocketError();
    if (m_sendFailure)
        end(StreamEnd::Broken, std::string(*m_sendFailure)); // a copy, as the handler may destroy the stream
    else if (!m_endsAfterAcknowledgement || (unsent() == 0 && isAllAcknowledged()))
        end(StreamEnd::Finished, "closed by the peer");
    else if (unsent() == 0)
        m_acknowledgementTimer.set(MonotonicClock::now() + kAcknowledgementCheckInterval);
}

bool TcpStream::isAllAcknowledged() const
{
    int octets = 0;
    return ioctl(m_descriptor, SIOCOUTQ, &octets) != 0 || octets == 0;
}

void TcpStream::takeSocketError()
{
    const int error = socketError();
    if (error != 0 && !m_sendFailure)
        m_sendFailure = std::string("send: ") + std::strerror(error);
}

int TcpStream::socketError() const
{
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    return error;
}

void TcpStream::flush()
{
    m_sentOffset += write(std::string_view(m_unsent).substr(m_sentOffset));
    if (m_sentOffset == m_unsent.size())
        m_bodyOffset += write(unsentBody());
    if (unsentBody().empty()) {
        m_body.reset();
        m_bodyOffset = 0;
    }
    if (unsent() == 0) {
        // A buffer that was large once would otherwise be kept as long as the connection.
        std::string().swap(m_unsent);
        m_sentOffset = 0;
        if (m_finishAfterFlush)
            shutdown(m_descriptor, SHUT_WR);
    } else if (m_sentOffset > kCompactionSize) {
        m_unsent.erase(0, m_sentOffset);
        m_sentOffset = 0;
    }
    updateInterest();
}

std::size_t TcpStream::write(std::string_view octets)
{
    std::size_t written = 0;
    while (written < octets.size() && !m_sendFailure) {
        const auto count = ::send(m_descriptor, octets.data() + written, octets.size() - written, MSG_NOSIGNAL);
        if (count < 0) {
            // A failed send is reported when reading fails, after the data that the peer had sent is delivered.
            if (errno != EAGAIN && errno != EINTR)
                m_sendFailure = internal::errnoMessage("send");
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    if (written > 0)
        m_lastProgress = MonotonicClock::now();
    return written;
}

void TcpStream::updateInterest()
{
    if (m_hasEnded)
        return;
    int interest = 0;
    if (!m_isConnected || (unsent() > 0 && !m_sendFailure))
        interest |= G_IO_OUT;
    if (m_isConnected && !m_isReadingPaused && !m_hasInputEnded)
        interest |= G_IO_IN;
    g_source_modify_unix_fd(m_source.get(), m_tag, GIOCondition(interest));
}

void TcpStream::end(StreamEnd how, const std::string& reason)
{
    if (m_hasEnded)
        return;
    m_hasEnded = true;
    m_source.reset();
    m_connectTimer.clear();
    m_acknowledgementTimer.clear();
    const auto handlers = m_handlers;
    handlers->ended(how, reason);
}

} // namespace hornbeamgate::gateway
