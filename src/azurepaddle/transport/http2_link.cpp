#include "azurepaddle/transport/http2_link.hpp"

#include "azurepaddle/core/invariant.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace azurepaddle::transport::internal {

namespace {

    // Approximate maximum size of one write, so that a ping is not queued behind large bodies.
    constexpr std::size_t maxWriteBytes = 64U * 1024U;
    constexpr std::size_t headerFieldOverhead = 32; // RFC 9113, section 6.5.2

    std::vector<nghttp2_nv> toNameValues(const std::vector<HeaderField>& fields)
    {
        std::vector<nghttp2_nv> values;
        values.reserve(fields.size());
        for (const HeaderField& field : fields) {
            // nghttp2 requires mutable pointers but copies the bytes. Secrets are not added to the compression table.
            auto* name = reinterpret_cast<std::uint8_t*>(const_cast<char*>(field.name.data()));
            auto* value = reinterpret_cast<std::uint8_t*>(const_cast<char*>(field.value.data()));
            const std::uint8_t flags = field.name == "authorization" ? NGHTTP2_NV_FLAG_NO_INDEX : NGHTTP2_NV_FLAG_NONE;
            values.push_back({ name, value, field.name.size(), field.value.size(), flags });
        }
        return values;
    }

}

std::string_view Http2Message::find(std::string_view name) const noexcept
{
    for (const HeaderField& field : fields) {
        if (field.name == name)
            return field.value;
    }
    return {};
}

/// Callbacks for nghttp2, whose user data is the link.
struct Http2Link::Callbacks {
    static Http2Link& link(void* user) noexcept { return *static_cast<Http2Link*>(user); }

    static int onBeginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* user)
    {
        if (frame->hd.type == NGHTTP2_HEADERS)
            link(user).m_incoming.try_emplace(frame->hd.stream_id);
        return 0;
    }

    static int onHeader(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name, std::size_t nameLength,
        const std::uint8_t* value, std::size_t valueLength, std::uint8_t, void* user)
    {
        Http2Link& self = link(user);
        const auto found = self.m_incoming.find(frame->hd.stream_id);
        if (found == self.m_incoming.end())
            return 0;
        Incoming& incoming = found->second;
        incoming.headerBytes += nameLength + valueLength + headerFieldOverhead;
        if (incoming.headerBytes > self.m_limits.maxHeaderBytes)
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        incoming.message.fields.push_back({ std::string(reinterpret_cast<const char*>(name), nameLength),
            std::string(reinterpret_cast<const char*>(value), valueLength) });
        return 0;
    }

    static int onData(nghttp2_session*, std::uint8_t, std::int32_t stream, const std::uint8_t* data, std::size_t length, void* user)
    {
        Http2Link& self = link(user);
        const auto found = self.m_incoming.find(stream);
        if (found == self.m_incoming.end() || found->second.discard)
            return 0;
        Incoming& incoming = found->second;
        if (self.m_events.onChunk && !self.m_events.onChunk(stream, incoming.message.body.size(), length)) {
            incoming.discard = true;
            incoming.message.body = {};
            return 0;
        }
        incoming.message.body.append(reinterpret_cast<const char*>(data), length);
        return 0;
    }

    static int onFrameReceived(nghttp2_session*, const nghttp2_frame* frame, void* user)
    {
        link(user).onFrame(*frame);
        return 0;
    }

    static int onFrameSent(nghttp2_session*, const nghttp2_frame* frame, void* user)
    {
        link(user).onFrameWritten(*frame);
        return 0;
    }

    static int onStreamClose(nghttp2_session*, std::int32_t stream, std::uint32_t code, void* user)
    {
        Http2Link& self = link(user);
        self.m_incoming.erase(stream);
        self.m_outgoing.erase(stream);
        if (self.m_events.onStreamClosed)
            self.m_events.onStreamClosed(stream, code);
        return 0;
    }

    static ssize_t readBody(nghttp2_session*, std::int32_t stream, std::uint8_t* target, std::size_t size, std::uint32_t* flags,
        nghttp2_data_source*, void* user)
    {
        Http2Link& self = link(user);
        const auto found = self.m_outgoing.find(stream);
        if (found == self.m_outgoing.end())
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        Outgoing& outgoing = found->second;
        const std::size_t count = std::min(size, outgoing.body.size() - outgoing.offset);
        outgoing.body.copy(reinterpret_cast<char*>(target), count, outgoing.offset);
        outgoing.offset += count;
        if (outgoing.offset == outgoing.body.size())
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(count);
    }
};

Http2Link::Http2Link(ByteStream stream, TlsRole role, const LinkLimits& limits, std::shared_ptr<TrafficMeter> traffic)
    : m_stream(std::move(stream))
    , m_role(role)
    , m_limits(limits)
    , m_traffic(std::move(traffic))
    , m_lastReceived(m_clock.now())
{
}

Http2Link::~Http2Link() = default;

void Http2Link::openSession()
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, Callbacks::onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, Callbacks::onHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, Callbacks::onData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, Callbacks::onFrameReceived);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, Callbacks::onFrameSent);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, Callbacks::onStreamClose);
    nghttp2_session* session = nullptr;
    if (m_role == TlsRole::Client)
        nghttp2_session_client_new(&session, callbacks, this);
    else
        nghttp2_session_server_new(&session, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    m_session.reset(session);
    AZUREPADDLE_INVARIANT(session != nullptr, "no memory for an HTTP/2 session");
}

void Http2Link::start()
{
    openSession();
    const std::array<nghttp2_settings_entry, 4> settings { {
        { NGHTTP2_SETTINGS_ENABLE_PUSH, 0 },
        { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, m_limits.maxStreams },
        { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, m_limits.streamWindow },
        { NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, static_cast<std::uint32_t>(m_limits.maxHeaderBytes) },
    } };
    // Only a client may send ENABLE_PUSH.
    const std::size_t skipped = m_role == TlsRole::Client ? 0 : 1;
    nghttp2_submit_settings(m_session.get(), NGHTTP2_FLAG_NONE, settings.data() + skipped, settings.size() - skipped);
    nghttp2_session_set_local_window_size(m_session.get(), NGHTTP2_FLAG_NONE, 0, m_limits.connectionWindow);
    read();
    flush();
}

std::int32_t Http2Link::submitRequest(const std::vector<HeaderField>& fields, std::string body)
{
    const std::vector<nghttp2_nv> values = toNameValues(fields);
    nghttp2_data_provider provider {};
    provider.read_callback = Callbacks::readBody;
    const bool hasBody = !body.empty();
    const std::int32_t stream = nghttp2_submit_request(m_session.get(), nullptr, values.data(), values.size(), hasBody ? &provider : nullptr, nullptr);
    if (stream > 0 && hasBody)
        m_outgoing[stream].body = std::move(body);
    return stream;
}

void Http2Link::submitResponse(std::int32_t stream, const std::vector<HeaderField>& fields, std::string body)
{
    if (m_closed || !m_incoming.contains(stream))
        return;
    const std::vector<nghttp2_nv> values = toNameValues(fields);
    nghttp2_data_provider provider {};
    provider.read_callback = Callbacks::readBody;
    const bool hasBody = !body.empty();
    const int result = nghttp2_submit_response(m_session.get(), stream, values.data(), values.size(), hasBody ? &provider : nullptr);
    if (result == 0 && hasBody)
        m_outgoing[stream].body = std::move(body);
}

void Http2Link::reset(std::int32_t stream, std::uint32_t code)
{
    if (!m_closed)
        nghttp2_submit_rst_stream(m_session.get(), NGHTTP2_FLAG_NONE, stream, code);
}

void Http2Link::ping()
{
    if (m_closed || m_pingOutstanding)
        return;
    m_pingOutstanding = true;
    nghttp2_submit_ping(m_session.get(), NGHTTP2_FLAG_NONE, nullptr);
    flush();
}

void Http2Link::goaway()
{
    if (m_closed || !m_session)
        return;
    const std::int32_t last = nghttp2_session_get_last_proc_stream_id(m_session.get());
    nghttp2_submit_goaway(m_session.get(), NGHTTP2_FLAG_NONE, last, NGHTTP2_NO_ERROR, nullptr, 0);
    flush();
}

void Http2Link::close() noexcept
{
    m_closed = true;
    m_stream.close();
}

void Http2Link::fail(const std::string& reason)
{
    if (m_closed)
        return;
    close();
    asio::post(m_stream.socket().get_executor(), [self = shared_from_this(), reason] {
        if (self->m_events.onDown)
            self->m_events.onDown(reason);
    });
}

void Http2Link::read()
{
    m_stream.readSome(asio::buffer(m_input), [self = shared_from_this()](std::error_code error, std::size_t size) {
        if (self->m_closed)
            return;
        if (error)
            return self->fail(fmt::format("the connection ended: {}", error.message()));
        self->onRead(size);
    });
}

void Http2Link::onRead(std::size_t size)
{
    m_lastReceived = m_clock.now();
    m_traffic->countWireIn(size);
    if (m_finished)
        return read();
    m_receiving = true;
    const ssize_t result = nghttp2_session_mem_recv(m_session.get(), reinterpret_cast<const std::uint8_t*>(m_input.data()), size);
    m_receiving = false;
    if (m_closed)
        return;
    if (result < 0)
        return fail(fmt::format("the peer broke the protocol: {}", nghttp2_strerror(static_cast<int>(result))));
    flush();
    if (!m_closed)
        read();
}

void Http2Link::flush()
{
    if (m_writing || m_receiving || m_closed || m_finished || !m_session)
        return;
    m_output.clear();
    while (m_output.size() < maxWriteBytes) {
        const std::uint8_t* data = nullptr;
        const ssize_t size = nghttp2_session_mem_send(m_session.get(), &data);
        if (size < 0)
            return fail(fmt::format("cannot write a frame: {}", nghttp2_strerror(static_cast<int>(size))));
        if (size == 0)
            break;
        m_output.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(size));
    }
    if (m_output.empty()) {
        if (nghttp2_session_want_read(m_session.get()) == 0 && nghttp2_session_want_write(m_session.get()) == 0)
            finishWriting();
        return;
    }
    m_writing = true;
    m_writeStart = m_clock.now();
    m_stream.write(asio::buffer(m_output), [self = shared_from_this()](std::error_code error, std::size_t) { self->onWritten(error); });
}

void Http2Link::finishWriting()
{
    // Closing a socket with unread input resets the connection and discards what the peer has not read yet. The read in
    // progress ends when the peer closes its side.
    std::error_code ignored;
    if (!std::exchange(m_finished, true))
        m_stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
}

void Http2Link::onWritten(std::error_code error)
{
    m_writing = false;
    if (m_closed)
        return;
    if (error)
        return fail(fmt::format("the connection ended: {}", error.message()));
    m_traffic->countWireOut(m_output.size());
    flush();
}

void Http2Link::onFrame(const nghttp2_frame& frame)
{
    switch (frame.hd.type) {
    case NGHTTP2_HEADERS:
        onHeaderBlock(frame.hd.stream_id);
        break;
    case NGHTTP2_SETTINGS:
        if ((frame.hd.flags & NGHTTP2_FLAG_ACK) == 0 && !std::exchange(m_ready, true) && m_events.onReady)
            m_events.onReady();
        break;
    case NGHTTP2_PING:
        if ((frame.hd.flags & NGHTTP2_FLAG_ACK) != 0)
            m_pingOutstanding = false;
        break;
    case NGHTTP2_GOAWAY:
        if (m_events.onGoaway)
            m_events.onGoaway();
        break;
    default:
        break;
    }
    const bool carriesMessage = frame.hd.type == NGHTTP2_HEADERS || frame.hd.type == NGHTTP2_DATA;
    if (carriesMessage && (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
        onEndOfStream(frame.hd.stream_id);
}

void Http2Link::onHeaderBlock(std::int32_t stream)
{
    const auto found = m_incoming.find(stream);
    if (found == m_incoming.end() || std::exchange(found->second.headSeen, true))
        return;
    if (m_events.onHead)
        found->second.discard = !m_events.onHead(stream, found->second.message);
}

void Http2Link::onEndOfStream(std::int32_t stream)
{
    const auto found = m_incoming.find(stream);
    if (found == m_incoming.end())
        return;
    found->second.complete = true;
    if (!found->second.discard && m_events.onMessage)
        m_events.onMessage(stream, std::move(found->second.message));
}

void Http2Link::onFrameWritten(const nghttp2_frame& frame)
{
    if (frame.hd.type == NGHTTP2_HEADERS && m_events.onSent)
        m_events.onSent(frame.hd.stream_id);
    const bool carriesMessage = frame.hd.type == NGHTTP2_HEADERS || frame.hd.type == NGHTTP2_DATA;
    if (m_role != TlsRole::Server || !carriesMessage || (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) == 0)
        return;
    // A response that ends before its request tells the client to stop sending (RFC 9113, section 8.1).
    const auto found = m_incoming.find(frame.hd.stream_id);
    if (found != m_incoming.end() && !found->second.complete)
        nghttp2_submit_rst_stream(m_session.get(), NGHTTP2_FLAG_NONE, frame.hd.stream_id, NGHTTP2_NO_ERROR);
}

}
