#pragma once

#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/base/socket_address.hpp"
#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/runtime/glib_support.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace hornbeamgate::gateway {

/// Failure of a socket call.
struct NetError {
    std::string detail;
};

/// How a connection ended.
enum class StreamEnd {
    Finished, ///< the peer closed in order
    Refused, ///< the connection was never established
    Broken, ///< reset, timed out or failed after it was established
};

/// Nonblocking TCP connection on the default main context.
///
/// Every callback may destroy the stream. After `ended` no further callback comes.
class TcpStream {
public:
    struct Handlers {
        std::function<void()> connected; ///< may be empty
        std::function<void(std::string_view)> received;
        std::function<void(StreamEnd, const std::string& reason)> ended;
    };

    /// Begins to connect; a peer that does not answer by `deadline` ends it as refused.
    static Result<std::unique_ptr<TcpStream>, NetError> connect(const SocketAddress& peer, MonotonicTime deadline);

    /// Takes over an accepted socket.
    static std::unique_ptr<TcpStream> adopt(int descriptor);

    ~TcpStream();
    TcpStream(const TcpStream&) = delete;
    TcpStream& operator=(const TcpStream&) = delete;

    void setHandlers(Handlers handlers) { m_handlers = std::make_shared<const Handlers>(std::move(handlers)); }

    /// Sends `octets` now or as soon as the peer takes them.
    void send(std::string_view octets);
    std::size_t unsent() const { return m_unsent.size() - m_sentOffset; }
    bool isConnected() const { return m_isConnected; }
    /// False when the peer has sent something or closed, also if that has not been handled yet.
    bool hasNoInput() const;

    void pauseReading(bool paused);
    /// Ends the sending side once everything is sent; the peer's end still arrives as `ended`.
    void finishSending();

private:
    explicit TcpStream(int descriptor);

    static gboolean dispatch(GSource* source, GSourceFunc call, gpointer data);
    void onReady(GIOCondition condition);
    void finishConnecting();
    void read();
    void flush();
    void updateInterest();
    void end(StreamEnd how, const std::string& reason);

    int m_descriptor;
    bool m_isConnected = false;
    bool m_isReadingPaused = false;
    bool m_finishAfterFlush = false;
    bool m_hasEnded = false;
    std::string m_unsent;
    std::size_t m_sentOffset = 0;
    std::shared_ptr<const Handlers> m_handlers; ///< shared with a callback that replaces it or destroys the stream
    EventSource m_source;
    gpointer m_tag = nullptr;
    Timer m_connectTimer;
    Liveness m_liveness;
};

} // namespace hornbeamgate::gateway
