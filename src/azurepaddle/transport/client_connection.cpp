#include "azurepaddle/transport/client_connection.hpp"

#include "azurepaddle/transport/protocol.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace azurepaddle::transport::internal {

namespace {

    std::int64_t remainingMilliseconds(Deadline deadline, TimePoint now) noexcept
    {
        return std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now).count());
    }

    /// Whether a status states an error. nghttp2 has checked that it consists of three digits, but not their range.
    bool isErrorStatus(std::string_view status) noexcept
    {
        return status.starts_with('4') || status.starts_with('5');
    }

}

void Call::finish(CallResult result)
{
    if (done())
        return;
    if (timer)
        timer->cancel();
    if (onDone)
        std::exchange(onDone, nullptr)();
    std::exchange(completion, nullptr)(std::move(result));
}

void Call::fail(TransportErrorCode code, const std::string& message)
{
    finish(tl::unexpected(TransportError(code, message)));
}

void Call::failBySent(const std::string& message)
{
    fail(sent ? TransportErrorCode::Unknown : TransportErrorCode::NotSent, message);
}

ClientConnection::ClientConnection(asio::io_context& io, const ClientOptions& options, TlsContext tls, InstanceAddress peer, ConnectionEvents events)
    : m_io(io)
    , m_options(options)
    , m_tls(std::move(tls))
    , m_peer(std::move(peer))
    , m_events(std::move(events))
    , m_connectTimer(io)
    , m_lastUsed(m_clock.now())
{
}

void ClientConnection::connect()
{
    std::error_code error;
    const auto ip = asio::ip::make_address(m_peer.ip, error);
    if (error) {
        asio::post(m_io, [self = shared_from_this()] { self->shutDown(fmt::format("{} is not an IP address", self->m_peer.ip)); });
        return;
    }
    m_connectTimer.expires_after(m_options.connectTimeout);
    m_connectTimer.async_wait([weak = weak_from_this()](std::error_code waitError) {
        const auto self = weak.lock();
        if (!waitError && self)
            self->shutDown("the peer did not complete the connection in time");
    });
    m_connecting = std::make_shared<Tcp::socket>(m_io);
    m_connecting->async_connect({ ip, m_peer.port }, [self = shared_from_this(), socket = m_connecting](std::error_code connectError) {
        if (!self->m_down)
            self->onConnected(std::move(*socket), connectError);
    });
}

void ClientConnection::onConnected(Tcp::socket socket, std::error_code error)
{
    if (error)
        return shutDown(fmt::format("cannot connect: {}", error.message()));
    socket.set_option(Tcp::no_delay(true), error);
    LinkLimits limits;
    limits.maxStreams = 0; // Servers do not push.
    m_link = std::make_shared<Http2Link>(ByteStream(std::move(socket), m_tls), TlsRole::Client, limits, m_options.traffic);
    m_link->setEvents(makeEvents());
    m_link->stream().handshake(TlsRole::Client, [self = shared_from_this(), link = m_link](std::error_code handshakeError) {
        if (self->m_down)
            return;
        if (handshakeError)
            return self->shutDown(fmt::format("the TLS handshake failed: {}", handshakeError.message()));
        link->start();
    });
}

LinkEvents ClientConnection::makeEvents()
{
    LinkEvents events;
    const std::weak_ptr<ClientConnection> weak = weak_from_this();
    events.onReady = [weak] {
        if (const auto self = weak.lock())
            self->onReady();
    };
    events.onChunk = [weak](std::int32_t stream, std::size_t before, std::size_t size) {
        const auto self = weak.lock();
        return self && self->onChunk(stream, before, size);
    };
    events.onMessage = [weak](std::int32_t stream, Http2Message message) {
        if (const auto self = weak.lock())
            self->onMessage(stream, std::move(message));
    };
    events.onSent = [weak](std::int32_t stream) {
        const auto self = weak.lock();
        if (self && self->m_calls.contains(stream))
            self->m_calls.at(stream)->sent = true;
    };
    events.onStreamClosed = [weak](std::int32_t stream, std::uint32_t code) {
        if (const auto self = weak.lock())
            self->onStreamClosed(stream, code);
    };
    events.onGoaway = [weak] {
        if (const auto self = weak.lock())
            self->drain();
    };
    events.onDown = [weak](const std::string& reason) {
        if (const auto self = weak.lock())
            self->shutDown(reason);
    };
    return events;
}

void ClientConnection::onReady()
{
    if (m_down)
        return;
    m_connectTimer.cancel();
    m_ready = true;
    m_options.traffic->countOpened();
    m_events.onReady();
}

std::vector<HeaderField> ClientConnection::makeFields(const Call& call) const
{
    std::vector<HeaderField> fields {
        { ":method", "POST" },
        { ":scheme", m_tls ? "https" : "http" },
        { ":authority", formatAddress(m_peer) },
        { ":path", std::string(pathPrefix) + call.method },
        { "content-length", std::to_string(call.body.size()) },
        { std::string(requestIdField), call.requestId },
    };
    if (!m_options.secret.empty())
        fields.push_back({ std::string(secretField), std::string(secretScheme) + m_options.secret });
    if (call.deadline != TimePoint::max())
        fields.push_back({ std::string(deadlineField), std::to_string(remainingMilliseconds(call.deadline, m_clock.now())) });
    return fields;
}

void ClientConnection::send(const CallPointer& call)
{
    m_lastUsed = m_clock.now();
    const std::size_t size = call->body.size();
    const std::vector<HeaderField> fields = makeFields(*call);
    const std::int32_t stream = m_link->submitRequest(fields, std::move(call->body));
    if (stream < 0) {
        call->fail(TransportErrorCode::NotSent, fmt::format("the connection takes no more requests: {}", nghttp2_strerror(stream)));
        return drain();
    }
    call->connection = weak_from_this();
    call->stream = stream;
    m_calls.emplace(stream, call);
    m_options.traffic->countOut(call->method, size);
    m_link->flush();
}

CallPointer ClientConnection::take(std::int32_t stream)
{
    const auto found = m_calls.find(stream);
    if (found == m_calls.end())
        return nullptr;
    CallPointer call = std::move(found->second);
    m_calls.erase(found);
    return call;
}

void ClientConnection::cancel(std::int32_t stream)
{
    if (m_calls.erase(stream) == 0)
        return;
    m_link->reset(stream, NGHTTP2_CANCEL);
    m_link->flush();
}

void ClientConnection::drain()
{
    if (!std::exchange(m_draining, true))
        m_events.onGoaway();
}

bool ClientConnection::onChunk(std::int32_t stream, std::size_t before, std::size_t size)
{
    if (!m_calls.contains(stream))
        return false; // Cancelled.
    if (size <= m_options.maxMessageBytes && before <= m_options.maxMessageBytes - size)
        return true;
    m_link->reset(stream, NGHTTP2_CANCEL);
    take(stream)->fail(TransportErrorCode::Unknown, fmt::format("the response exceeds {} bytes", m_options.maxMessageBytes));
    return false;
}

void ClientConnection::onMessage(std::int32_t stream, Http2Message message)
{
    const CallPointer call = take(stream);
    if (!call)
        return;
    m_lastUsed = m_clock.now();
    m_options.traffic->countIn(call->method, message.body.size());
    if (message.find(requestIdField) != call->requestId)
        return call->fail(TransportErrorCode::Unknown, "the response carries the identifier of another request");
    m_events.onResponse();
    if (message.find(":status") == "200")
        return call->finish(std::move(message.body));
    const std::optional<PeerErrorCode> code = parsePeerError(message.find(errorField));
    if (!code || !isErrorStatus(message.find(":status")))
        return call->fail(TransportErrorCode::Unknown, fmt::format("the peer answered with status {} and no known error", message.find(":status")));
    call->finish(tl::unexpected(TransportError(PeerError { *code, std::move(message.body) })));
}

void ClientConnection::onStreamClosed(std::int32_t stream, std::uint32_t code)
{
    const CallPointer call = take(stream);
    if (!call)
        return;
    if (code == NGHTTP2_REFUSED_STREAM && call->sent)
        return call->finish(tl::unexpected(TransportError(PeerError { PeerErrorCode::Overloaded, "the peer refused the stream" })));
    call->failBySent(fmt::format("the peer closed the stream: {}", nghttp2_http2_strerror(code)));
}

void ClientConnection::checkSilence(TimePoint now, Duration lag)
{
    if (!m_ready || m_down)
        return;
    if (m_link->pingOutstanding()) {
        // After this process was paused, the response to the ping may have arrived and not been read yet.
        m_pingSent += lag;
        if (now - m_pingSent <= m_options.pingDeadline)
            return;
        m_options.traffic->countSilent();
        return shutDown("the peer did not answer a ping in time");
    }
    const Duration interval = idle() ? m_options.idlePingInterval : m_options.pingInterval;
    if (now - m_link->lastReceived() < interval)
        return;
    m_pingSent = now;
    m_link->ping();
}

void ClientConnection::shutDown(const std::string& reason)
{
    if (std::exchange(m_down, true))
        return;
    m_connectTimer.cancel();
    if (m_connecting) {
        std::error_code ignored;
        m_connecting->close(ignored);
    }
    if (m_link)
        m_link->close();
    // The connection is removed from the state of the peer first, so that a completion which sends another call opens
    // a new one.
    m_events.onDown(reason, m_ready);
    const auto calls = std::exchange(m_calls, {});
    for (const auto& [stream, call] : calls)
        call->failBySent(reason);
}

}
