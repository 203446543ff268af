#pragma once

#include "hornbeamgate/base/result.hpp"
#include "hornbeamgate/runtime/link/link_session.hpp"
#include "hornbeamgate/runtime/link/link_stream.hpp"
#include "hornbeamgate/settings/settings_reader.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace hornbeamgate {

/// Owns the session of one connection, dispatches its events to the streams and reports its end.
class LinkConnection : private LinkSessionObserver {
public:
    using StreamOpened = std::function<void(std::unique_ptr<LinkStream> stream, std::string_view path, const HostId& from)>;
    using Closed = std::function<void(const LinkError& error)>;

    /// Connects to `address`, identifying itself as the host `self`. Streams may be opened immediately; they are
    /// queued until the connection is established.
    static std::unique_ptr<LinkConnection> connect(const SocketAddress& address, const HostId& self, Closed closed);

    /// Serves a connection that the peer opened.
    static std::unique_ptr<LinkConnection> accept(GObjectPtr<GSocketConnection> connection, StreamOpened opened, Closed closed);

    ~LinkConnection() override;

    std::unique_ptr<LinkStream> openStream(std::string_view path);
    /// Sets the callbacks: `onBytesReceived` for any received data, `streamEnded` for the end of each stream.
    void watch(std::function<void()> onBytesReceived, std::function<void()> streamEnded);
    void ping();
    void close(const LinkError& error);
    void announceShutdown();

    /// Returns true once the connection has ended or could not be established, also while it reports that to its streams.
    bool closed() const { return m_hasEnded || (m_session && m_session->closed()); }
    LinkTraffic traffic() const;
    LinkSession& session() { return *m_session; }

private:
    friend class LinkStream;

    LinkConnection(StreamOpened opened, Closed closed);

    void startConnecting(const SocketAddress& address);
    void attach(GObjectPtr<GSocketConnection> connection, LinkRole role);
    void startStream(LinkStream& stream);
    void release(LinkStream& stream);
    void notifyStreamEnded();
    void fail(LinkStream& stream, const LinkError& error);
    LinkStream* find(LinkStreamId id);

    void streamOpened(LinkStreamId id, std::string_view path, const HostId& from) override;
    void messageReceived(LinkStreamId id, BytesView message) override;
    void streamFinished(LinkStreamId id) override;
    void streamFailed(LinkStreamId id, const LinkError& error) override;
    void streamDrained(LinkStreamId id) override;
    void bytesReceived() override;
    void sessionClosed(const LinkError& error) override;

    Liveness m_liveness;
    HostId m_self;
    StreamOpened m_opened;
    Closed m_closed;
    std::function<void()> m_onBytesReceived;
    std::function<void()> m_streamEnded;
    bool m_hasEnded = false;
    GObjectPtr<GCancellable> m_connecting;
    std::unique_ptr<LinkSession> m_session;
    std::map<LinkStreamId, LinkStream*> m_streams;
    std::set<LinkStream*> m_pending; ///< streams opened before the connection was established
};

} // namespace hornbeamgate
