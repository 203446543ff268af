#pragma once

#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/base/socket_address.hpp"
#include "hornbeamgate/base/time.hpp"
#include "hornbeamgate/runtime/glib_support.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeamgate::gateway {

/// Failure of a socket call.
struct NetError {
    std::string detail;
};

/// Reason for the end of a connection.
enum class StreamEnd {
    Finished, ///< orderly close by the peer, and nothing failed to be sent
    Refused, ///< the connection was never established
    Broken, ///< reset, timed out or failed after it was established
};

/// What becomes of a connection whose peer acknowledges nothing.
enum class UnresponsivePeer {
    Disconnect, ///< it ends as broken
    Await, ///< it stays open, for callers with deadlines of their own
};

/// Nonblocking TCP connection on the default main context.
///
/// Any callback may destroy the stream. `ended` is the last callback.
class TcpStream {
public:
    struct Handlers {
        std::function<void()> connected; ///< optional
        std::function<void(std::string_view)> received;
        std::function<void(StreamEnd, const std::string& reason)> ended;
        std::function<void()> drained {}; ///< optional; the socket has accepted all data that it did not accept at once
    };

    /// Starts connecting. If the connection is not established by `deadline`, the stream ends with `Refused`.
    static Result<std::unique_ptr<TcpStream>, NetError> connect(const SocketAddress& peer, MonotonicTime deadline, UnresponsivePeer unresponsivePeer = UnresponsivePeer::Disconnect);

    /// Takes ownership of an accepted socket.
    static std::unique_ptr<TcpStream> adopt(int descriptor);

    ~TcpStream();
    TcpStream(const TcpStream&) = delete;
    TcpStream& operator=(const TcpStream&) = delete;

    void setHandlers(Handlers handlers) { m_handlers = std::make_shared<const Handlers>(std::move(handlers)); }

    /// Sends `octets`, buffering what the socket does not accept yet.
    void send(std::string_view octets);
    /// Sends `octets` and then `body`, which is shared instead of copied.
    void send(std::string_view octets, std::shared_ptr<const std::string> body);
    std::size_t unsent() const { return m_unsent.size() - m_sentOffset + unsentBody().size(); }
    /// Memory of the stream's own buffer.
    std::size_t heldBytes() const { return m_unsent.capacity(); }
    /// Time at which the socket last delivered or took bytes; at first the time of the connection.
    MonotonicTime lastProgress() const { return m_lastProgress; }
    bool isConnected() const { return m_isConnected; }
    /// Returns false if the peer has closed the connection or if unread input is pending in the socket.
    bool hasNoInput() const;

    void pauseReading(bool paused);
    /// After the peer has closed its side, lets the stream end only once the peer has acknowledged all data. A peer that takes no
    /// more data is then not mistaken for one that has closed its side in an orderly way.
    void endAfterAcknowledgement() { m_endsAfterAcknowledgement = true; }
    /// Shuts down the sending side once all buffered data is sent. The peer's close is still reported by `ended`.
    void finishSending();

private:
    explicit TcpStream(int descriptor);

    static gboolean dispatch(GSource* source, GSourceFunc call, gpointer data);
    void onReady(GIOCondition condition);
    void finishConnecting();
    void read();
    /// Ends the stream after the peer has closed its side, unless an acknowledgement is awaited.
    void endAfterInput();
    bool isAllAcknowledged() const;
    /// Takes the error of the connection from the socket, which reports it once.
    void takeSocketError();
    int socketError() const;
    void flush();
    /// Writes to the socket and returns the number of bytes that it took.
    std::size_t write(std::string_view octets);
    void buffer(std::string_view octets);
    std::string_view unsentBody() const { return m_body ? std::string_view(*m_body).substr(m_bodyOffset) : std::string_view(); }
    void updateInterest();
    void end(StreamEnd how, const std::string& reason);

    int m_descriptor;
    bool m_isConnected = false;
    bool m_isReadingPaused = false;
    bool m_finishAfterFlush = false;
    bool m_endsAfterAcknowledgement = false;
    bool m_hasInputEnded = false;
    std::optional<std::string> m_sendFailure; ///< reason why what is unsent will not be sent
    bool m_hasEnded = false;
    std::string m_unsent;
    std::size_t m_sentOffset = 0;
    std::shared_ptr<const std::string> m_body; ///< sent after m_unsent
    std::size_t m_bodyOffset = 0;
    MonotonicTime m_lastProgress = MonotonicClock::now();
    std::shared_ptr<const Handlers> m_handlers; ///< shared so that a running callback may replace it or destroy the stream
    EventSource m_source;
    gpointer m_tag = nullptr;
    Timer m_connectTimer;
    Timer m_acknowledgementTimer; ///< set after the end of the input while data is not acknowledged
    Liveness m_liveness;
};

} // namespace hornbeamgate::gateway
