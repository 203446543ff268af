#include "hornbeamgate/runtime/link/link_session.hpp"

#include <nghttp2/nghttp2.h>

#include <array>
#include <cstring>
#include <map>
#include <optional>
#include <vector>

namespace hornbeamgate {

namespace {

    constexpr std::string_view kLinkVersion = "1";
    constexpr std::string_view kVersionHeader = "hornbeamgate-link";
    constexpr std::string_view kHostHeader = "hornbeamgate-host";
    constexpr std::string_view kVersionMismatchStatus = "505";
    constexpr std::size_t kLengthBytes = 4;
    constexpr std::size_t kMaxMessageBytes = std::size_t { 64 } * 1024 * 1024;
    constexpr std::size_t kReadChunkBytes = std::size_t { 64 } * 1024;
    constexpr std::size_t kMaxSocketBacklogBytes = std::size_t { 256 } * 1024;
    constexpr std::uint32_t kStreamWindowBytes = 256 * 1024;
    constexpr std::size_t kEarlyCreditBytes = kStreamWindowBytes / 2;
    constexpr std::int32_t kConnectionWindowBytes = 64 * 1024 * 1024;
    constexpr std::uint32_t kMaxStreams = 16 * 1024;

    struct Stream {
        std::string path;
        std::string version;
        std::string host;
        std::string status;
        Bytes outgoing;
        std::size_t outgoingOffset = 0;
        Bytes incoming;
        std::size_t earlyCredit = 0; ///< credit already returned for a message that is still incomplete
        bool finishing = false; ///< no more messages will be queued
        bool localDone = false; ///< the last frame was passed to the connection
        bool remoteDone = false;
        bool resetLocally = false;
        bool sent = false;
        bool drainRequested = false;

        std::size_t unsent() const { return outgoing.size() - outgoingOffset; }
    };

    nghttp2_nv header(std::string_view name, std::string_view value)
    {
        const auto octets = [](std::string_view text) {
            return const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(text.data()));
        };
        return { octets(name), octets(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE };
    }

    void appendLength(Bytes& bytes, std::size_t length)
    {
        for (int shift = 24; shift >= 0; shift -= 8)
            bytes.push_back(static_cast<std::uint8_t>(length >> shift));
    }

    std::size_t readLength(const Bytes& bytes, std::size_t offset)
    {
        std::size_t length = 0;
        for (std::size_t i = 0; i < kLengthBytes; ++i)
            length = length << 8 | bytes[offset + i];
        return length;
    }

} // namespace

struct LinkSession::State {
    GObjectPtr<GSocketConnection> connection;
    GSocket* socket = nullptr;
    LinkRole role = LinkRole::Client;
    LinkSessionObserver* observer = nullptr;
    nghttp2_session* session = nullptr;
    std::map<LinkStreamId, Stream> streams;
    EventSource readable;
    EventSource writable;
    Bytes socketBacklog;
    std::size_t socketBacklogOffset = 0;
    bool flushPosted = false;
    bool closed = false;
    Liveness liveness;
    LinkTraffic traffic;

    ~State()
    {
        if (session)
            nghttp2_session_del(session);
    }

    Stream* find(LinkStreamId id)
    {
        const auto found = streams.find(id);
        return found == streams.end() ? nullptr : &found->second;
    }

    void start();
    void onReadable();
    void onWritable();
    void scheduleFlush();
    void flush();
    bool writeBacklog();
    void extractMessages(LinkStreamId id, Stream& stream);
    void giveCredit(LinkStreamId id, Stream& stream, std::size_t bytes);
    void postDrained(LinkStreamId id);
    void onHeadersComplete(LinkStreamId id);
    void onRemoteDone(LinkStreamId id);
    void onStreamClosed(LinkStreamId id, std::uint32_t code);
    void close(const LinkError& error);
    void submitResponse(LinkStreamId id, std::string_view status);
};

// nghttp2 callbacks that forward events to the State; `user` always points to the State.
struct LinkCallbacks {
    template <typename State>
    static ssize_t readOutgoing(nghttp2_session*, std::int32_t id, std::uint8_t* buffer, std::size_t length,
        std::uint32_t* flags, nghttp2_data_source*, void* user)
    {
        auto* state = static_cast<State*>(user);
        auto* stream = state->find(id);
        if (!stream)
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        const auto count = std::min(length, stream->unsent());
        if (count == 0 && !stream->finishing)
            return NGHTTP2_ERR_DEFERRED;
        std::memcpy(buffer, stream->outgoing.data() + stream->outgoingOffset, count);
        stream->outgoingOffset += count;
        stream->sent = true;
        if (stream->unsent() == 0) {
            stream->outgoing.clear();
            stream->outgoingOffset = 0;
            if (stream->drainRequested)
                state->postDrained(id);
            if (stream->finishing) {
                *flags |= NGHTTP2_DATA_FLAG_EOF;
                stream->localDone = true;
            }
        }
        return static_cast<ssize_t>(count);
    }

    template <typename State>
    static int onHeader(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name, std::size_t nameLength,
        const std::uint8_t* value, std::size_t valueLength, std::uint8_t, void* user)
    {
        auto* state = static_cast<State*>(user);
        auto* stream = state->find(frame->hd.stream_id);
        if (!stream)
            return 0;
        const std::string_view key(reinterpret_cast<const char*>(name), nameLength);
        const std::string text(reinterpret_cast<const char*>(value), valueLength);
        if (key == ":path")
            stream->path = text;
        if (key == ":status")
            stream->status = text;
        if (key == kVersionHeader)
            stream->version = text;
        if (key == kHostHeader)
            stream->host = text;
        return 0;
    }

    template <typename State>
    static int onBeginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* user)
    {
        auto* state = static_cast<State*>(user);
        if (state->role == LinkRole::Server && frame->headers.cat == NGHTTP2_HCAT_REQUEST)
            state->streams.try_emplace(frame->hd.stream_id);
        return 0;
    }

    template <typename State>
    static int onData(nghttp2_session* session, std::uint8_t, std::int32_t id, const std::uint8_t* data, std::size_t length, void* user)
    {
        auto* state = static_cast<State*>(user);
        nghttp2_session_consume_connection(session, length);
        auto* stream = state->find(id);
        if (!stream)
            return 0;
        stream->incoming.insert(stream->incoming.end(), data, data + length);
        state->extractMessages(id, *stream);
        return 0;
    }

    template <typename State>
    static int onFrame(nghttp2_session*, const nghttp2_frame* frame, void* user)
    {
        auto* state = static_cast<State*>(user);
        const auto id = frame->hd.stream_id;
        if (frame->hd.type == NGHTTP2_HEADERS)
            state->onHeadersComplete(id);
        const bool carriesEnd = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
        if (carriesEnd && frame->hd.flags & NGHTTP2_FLAG_END_STREAM)
            state->onRemoteDone(id);
        return 0;
    }

    template <typename State>
    static int onClose(nghttp2_session*, std::int32_t id, std::uint32_t code, void* user)
    {
        static_cast<State*>(user)->onStreamClosed(id, code);
        return 0;
    }

    template <typename State>
    static nghttp2_session* createSession(State* state)
    {
        nghttp2_session_callbacks* callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, onBeginHeaders<State>);
        nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader<State>);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onData<State>);
        nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrame<State>);
        nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onClose<State>);
        nghttp2_option* options = nullptr;
        nghttp2_option_new(&options);
        nghttp2_option_set_no_auto_window_update(options, 1);
        nghttp2_option_set_peer_max_concurrent_streams(options, kMaxStreams);
        nghttp2_session* session = nullptr;
        if (state->role == LinkRole::Client)
            nghttp2_session_client_new2(&session, callbacks, state, options);
        else
            nghttp2_session_server_new2(&session, callbacks, state, options);
        nghttp2_option_del(options);
        nghttp2_session_callbacks_del(callbacks);
        return session;
    }
};

void LinkSession::State::start()
{
    session = LinkCallbacks::createSession(this);
    const std::array settings {
        nghttp2_settings_entry { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxStreams },
        nghttp2_settings_entry { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes },
    };
    nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0, kConnectionWindowBytes);
    socket = g_socket_connection_get_socket(connection.get());
    g_socket_set_blocking(socket, FALSE);
    g_socket_set_option(socket, 6 /* IPPROTO_TCP */, 1 /* TCP_NODELAY */, 1, nullptr);
    readable = watchSocket(socket, G_IO_IN, [this] { onReadable(); });
    scheduleFlush();
}

void LinkSession::State::onReadable()
{
    std::array<std::uint8_t, kReadChunkBytes> chunk;
    GError* rawError = nullptr;
    const auto count = g_socket_receive(socket, reinterpret_cast<char*>(chunk.data()), chunk.size(), nullptr, &rawError);
    const GErrorPtr error(rawError);
    if (error && g_error_matches(error.get(), G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
        return;
    if (error || count == 0) {
        close({ LinkErrorCode::ConnectionLost, error ? error->message : "closed by the other side", true });
        return;
    }
    traffic.received += static_cast<std::uint64_t>(count);
    const auto used = nghttp2_session_mem_recv(session, chunk.data(), static_cast<std::size_t>(count));
    if (closed)
        return;
    if (used < 0) {
        close({ LinkErrorCode::ProtocolError, nghttp2_strerror(static_cast<int>(used)), true });
        return;
    }
    observer->bytesReceived();
    flush();
}

void LinkSession::State::onWritable()
{
    writable.reset();
    flush();
}

void LinkSession::State::scheduleFlush()
{
    if (flushPosted || closed)
        return;
    flushPosted = true;
    post([this, alive = liveness.watch()] {
        if (alive.expired())
            return;
        flushPosted = false;
        flush();
    });
}

void LinkSession::State::flush()
{
    if (closed || writable.active())
        return;
    while (!closed) {
        while (socketBacklog.size() < kMaxSocketBacklogBytes) {
            const std::uint8_t* data = nullptr;
            const auto count = nghttp2_session_mem_send(session, &data);
            if (count <= 0)
                break;
            socketBacklog.insert(socketBacklog.end(), data, data + count);
        }
        if (socketBacklog.empty() || !writeBacklog())
            break;
    }
    if (!closed && !nghttp2_session_want_read(session) && !nghttp2_session_want_write(session) && socketBacklog.empty())
        close({ LinkErrorCode::ConnectionLost, "session ended", true });
}

bool LinkSession::State::writeBacklog()
{
    GError* rawError = nullptr;
    const auto* data = reinterpret_cast<const char*>(socketBacklog.data()) + socketBacklogOffset;
    const auto count = g_socket_send(socket, data, socketBacklog.size() - socketBacklogOffset, nullptr, &rawError);
    const GErrorPtr error(rawError);
    if (error && g_error_matches(error.get(), G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
        writable = watchSocket(socket, G_IO_OUT, [this] { onWritable(); });
        return false;
    }
    if (error) {
        close({ LinkErrorCode::ConnectionLost, error->message, true });
        return false;
    }
    traffic.sent += static_cast<std::uint64_t>(count);
    socketBacklogOffset += static_cast<std::size_t>(count);
    if (socketBacklogOffset == socketBacklog.size()) {
        socketBacklog.clear();
        socketBacklogOffset = 0;
    }
    return true;
}

void LinkSession::State::extractMessages(LinkStreamId id, Stream& stream)
{
    std::size_t offset = 0;
    while (!closed && stream.incoming.size() - offset >= kLengthBytes) {
        const auto length = readLength(stream.incoming, offset);
        if (length > kMaxMessageBytes) {
            stream.incoming.clear();
            nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id, NGHTTP2_FRAME_SIZE_ERROR);
            scheduleFlush();
            return;
        }
        if (stream.incoming.size() - offset - kLengthBytes < length)
            break;
        const BytesView message(stream.incoming.data() + offset + kLengthBytes, length);
        offset += kLengthBytes + length;
        giveCredit(id, stream, kLengthBytes);
        observer->messageReceived(id, message);
        if (closed)
            return;
    }
    stream.incoming.erase(stream.incoming.begin(), stream.incoming.begin() + static_cast<std::ptrdiff_t>(offset));
    // Return credit early for incomplete messages. A message larger than the window would otherwise never complete,
    // because its credit is only returned once it is complete.
    const auto missing = stream.incoming.size() - std::min(stream.incoming.size(), stream.earlyCredit);
    if (missing > kEarlyCreditBytes) {
        stream.earlyCredit += missing;
        nghttp2_session_consume_stream(session, id, missing);
    }
}

void LinkSession::State::giveCredit(LinkStreamId id, Stream& stream, std::size_t bytes)
{
    const auto alreadyGiven = std::min(bytes, stream.earlyCredit);
    stream.earlyCredit -= alreadyGiven;
    nghttp2_session_consume_stream(session, id, bytes - alreadyGiven);
}

void LinkSession::State::postDrained(LinkStreamId id)
{
    post([this, id, alive = liveness.watch()] {
        if (alive.expired())
            return;
        auto* stream = find(id);
        if (stream && std::exchange(stream->drainRequested, false))
            observer->streamDrained(id);
    });
}

void LinkSession::State::submitResponse(LinkStreamId id, std::string_view status)
{
    const std::array headers { header(":status", status), header(kVersionHeader, kLinkVersion) };
    nghttp2_data_provider provider {};
    provider.read_callback = LinkCallbacks::readOutgoing<State>;
    nghttp2_submit_response(session, id, headers.data(), headers.size(), &provider);
    scheduleFlush();
}

void LinkSession::State::onHeadersComplete(LinkStreamId id)
{
    auto* stream = find(id);
    if (!stream)
        return;
    if (role == LinkRole::Client) {
        if (stream->status == kVersionMismatchStatus)
            observer->streamFailed(id, { LinkErrorCode::VersionMismatch, "the other process speaks another link version", false });
        return;
    }
    if (stream->version != kLinkVersion) {
        stream->finishing = true;
        submitResponse(id, kVersionMismatchStatus);
        return;
    }
    submitResponse(id, "200");
    observer->streamOpened(id, stream->path, HostId(stream->host));
}

void LinkSession::State::onRemoteDone(LinkStreamId id)
{
    auto* stream = find(id);
    if (!stream || stream->remoteDone)
        return;
    stream->remoteDone = true;
    const bool refused = stream->status == kVersionMismatchStatus || (role == LinkRole::Server && stream->version != kLinkVersion);
    if (!refused)
        observer->streamFinished(id);
}

void LinkSession::State::onStreamClosed(LinkStreamId id, std::uint32_t code)
{
    const auto found = streams.find(id);
    if (found == streams.end())
        return;
    const auto stream = std::move(found->second);
    streams.erase(found);
    if (stream.resetLocally || stream.status == kVersionMismatchStatus)
        return;
    if (stream.remoteDone && (stream.localDone || code == NGHTTP2_NO_ERROR))
        return;
    // REFUSED_STREAM guarantees that the peer did not process the stream.
    const bool sent = stream.sent && code != NGHTTP2_REFUSED_STREAM;
    observer->streamFailed(id, { LinkErrorCode::StreamReset, nghttp2_http2_strerror(code), sent });
}

void LinkSession::State::close(const LinkError& error)
{
    if (closed)
        return;
    closed = true;
    readable.reset();
    writable.reset();
    g_io_stream_close(G_IO_STREAM(connection.get()), nullptr, nullptr);
    auto open = std::move(streams);
    streams.clear();
    for (const auto& [id, stream] : open) {
        if (!stream.resetLocally)
            observer->streamFailed(id, { error.code, error.detail, stream.sent });
    }
    observer->sessionClosed(error);
}

std::unique_ptr<LinkSession> LinkSession::create(GObjectPtr<GSocketConnection> connection, LinkRole role, LinkSessionObserver& observer)
{
    auto state = std::make_unique<State>();
    state->connection = std::move(connection);
    state->role = role;
    state->observer = &observer;
    state->start();
    return std::unique_ptr<LinkSession>(new LinkSession(std::move(state)));
}

LinkSession::LinkSession(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

LinkSession::~LinkSession() = default;

LinkStreamId LinkSession::openStream(std::string_view path, const HostId& from)
{
    const std::array headers {
        header(":method", "POST"),
        header(":scheme", "http"),
        header(":authority", "hornbeamgate"),
        header(":path", path),
        header(kVersionHeader, kLinkVersion),
        header(kHostHeader, from.value()),
    };
    nghttp2_data_provider provider {};
    provider.read_callback = LinkCallbacks::readOutgoing<State>;
    const auto id = nghttp2_submit_request(m_state->session, nullptr, headers.data(), headers.size(), &provider, nullptr);
    if (id > 0)
        m_state->streams.try_emplace(id);
    m_state->scheduleFlush();
    return id;
}

void LinkSession::sendMessage(LinkStreamId id, BytesView message)
{
    auto* stream = m_state->find(id);
    if (!stream || stream->finishing)
        return;
    appendLength(stream->outgoing, message.size());
    stream->outgoing.insert(stream->outgoing.end(), message.begin(), message.end());
    nghttp2_session_resume_data(m_state->session, id);
    m_state->scheduleFlush();
}

void LinkSession::finishStream(LinkStreamId id)
{
    auto* stream = m_state->find(id);
    if (!stream)
        return;
    stream->finishing = true;
    nghttp2_session_resume_data(m_state->session, id);
    m_state->scheduleFlush();
}

void LinkSession::resetStream(LinkStreamId id)
{
    auto* stream = m_state->find(id);
    if (!stream)
        return;
    stream->resetLocally = true;
    nghttp2_submit_rst_stream(m_state->session, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
    m_state->scheduleFlush();
}

void LinkSession::consume(LinkStreamId id, std::size_t bytes)
{
    auto* stream = m_state->find(id);
    if (m_state->closed || !stream)
        return;
    m_state->giveCredit(id, *stream, bytes);
    m_state->scheduleFlush();
}

std::size_t LinkSession::unsentBytes(LinkStreamId id) const
{
    const auto* stream = m_state->find(id);
    return stream ? stream->unsent() : 0;
}

void LinkSession::notifyWhenDrained(LinkStreamId id)
{
    auto* stream = m_state->find(id);
    if (!stream)
        return;
    stream->drainRequested = true;
    if (stream->unsent() == 0)
        m_state->postDrained(id);
}

void LinkSession::ping()
{
    if (m_state->closed)
        return;
    nghttp2_submit_ping(m_state->session, NGHTTP2_FLAG_NONE, nullptr);
    m_state->scheduleFlush();
}

void LinkSession::announceShutdown()
{
    if (m_state->closed)
        return;
    nghttp2_submit_shutdown_notice(m_state->session);
    m_state->scheduleFlush();
}

void LinkSession::close(const LinkError& error)
{
    m_state->close(error);
}

bool LinkSession::closed() const
{
    return m_state->closed;
}

LinkTraffic LinkSession::traffic() const
{
    return m_state->traffic;
}

std::string LinkSession::peer() const
{
    const GObjectPtr<GSocketAddress> address(g_socket_connection_get_remote_address(m_state->connection.get(), nullptr));
    if (!address)
        return "unknown";
    auto* text = g_socket_connectable_to_string(G_SOCKET_CONNECTABLE(address.get()));
    std::string result = text;
    g_free(text);
    return result;
}

} // namespace hornbeamgate
