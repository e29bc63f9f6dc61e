#include "azurepaddle/transport/server_connection.hpp"

#include "azurepaddle/core/digest.hpp"
#include "azurepaddle/transport/protocol.hpp"

#include <charconv>
#include <fmt/format.h>

namespace azurepaddle::transport::internal {

namespace {

    constexpr std::int64_t maxDeadlineMilliseconds = 24LL * 3600 * 1000;

    Deadline parseDeadline(std::string_view digits, TimePoint now) noexcept
    {
        std::int64_t milliseconds = 0;
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), milliseconds);
        if (digits.empty() || error != std::errc() || milliseconds < 0 || milliseconds > maxDeadlineMilliseconds)
            return TimePoint::max();
        return now + std::chrono::milliseconds(milliseconds);
    }

    PeerReply runHandler(const PeerHandler& handler, const PeerRequest& request)
    {
        try {
            return handler(request);
        } catch (const std::exception& exception) {
            return tl::unexpected(fmt::format("the handler threw: {}", exception.what()));
        }
    }

}

ServerConnection::ServerConnection(ServerShared& shared, Tcp::socket socket, std::string remote)
    : m_shared(shared)
    , m_remote(std::move(remote))
    , m_accepted(m_clock.now())
{
    LinkLimits limits;
    limits.maxStreams = shared.options.maxStreamsPerConnection;
    m_link = std::make_shared<Http2Link>(ByteStream(std::move(socket), shared.tls), TlsRole::Server, limits, shared.options.traffic);
}

ServerConnection::~ServerConnection()
{
    for (auto& [stream, state] : m_streams)
        release(state);
}

LinkEvents ServerConnection::makeEvents()
{
    LinkEvents events;
    const std::weak_ptr<ServerConnection> weak = weak_from_this();
    events.onHead = [weak](std::int32_t stream, const Http2Message& message) {
        const auto self = weak.lock();
        return self && self->onHead(stream, message);
    };
    events.onChunk = [weak](std::int32_t stream, std::size_t before, std::size_t size) {
        const auto self = weak.lock();
        return self && self->onChunk(stream, before, size);
    };
    events.onMessage = [weak](std::int32_t stream, Http2Message message) {
        if (const auto self = weak.lock())
            self->onMessage(stream, std::move(message));
    };
    events.onStreamClosed = [weak](std::int32_t stream, std::uint32_t) {
        if (const auto self = weak.lock())
            self->onStreamClosed(stream);
    };
    return events;
}

void ServerConnection::start()
{
    m_link->setEvents(makeEvents());
    m_link->stream().handshake(TlsRole::Server, [self = shared_from_this()](std::error_code error) {
        if (self->m_link->closed())
            return;
        if (error)
            self->m_link->close();
        else
            self->m_link->start();
    });
}

void ServerConnection::close() noexcept
{
    m_link->close();
}

void ServerConnection::checkTimeouts(TimePoint now)
{
    const ServerOptions& options = m_shared.options;
    if (!m_link->ready() && now - m_accepted > options.handshakeTimeout)
        return close();
    const TimePoint writingSince = m_link->writingSince();
    if (writingSince < now && now - writingSince > options.writeTimeout)
        return close();
    if (now - m_link->lastReceived() > options.idleTimeout)
        return close();
    for (const auto& [stream, state] : m_streams) {
        const bool requestLate = state.receiving && now - state.started > options.requestTimeout;
        const bool responseLate = state.responded && now - state.started > options.responseTimeout;
        if (requestLate || responseLate)
            m_link->reset(stream, NGHTTP2_CANCEL);
    }
    m_link->flush();
}

bool ServerConnection::authorized(const Http2Message& message) const noexcept
{
    const std::string& secret = m_shared.options.secret;
    if (secret.empty())
        return true;
    const std::string_view field = message.find(secretField);
    return field.starts_with(secretScheme) && equalSecrets(field.substr(secretScheme.size()), secret);
}

bool ServerConnection::onHead(std::int32_t stream, const Http2Message& message)
{
    const TimePoint now = m_clock.now();
    Stream& state = m_streams[stream];
    state.started = now;
    state.requestId = std::string(message.find(requestIdField));
    state.deadline = parseDeadline(message.find(deadlineField), now);
    state.method = otherMethods;
    if (!authorized(message)) {
        refuse(stream, PeerErrorCode::Unauthorized, "the shared secret is missing or wrong");
        return false;
    }
    const std::string_view path = message.find(":path");
    const bool isPeerPath = message.find(":method") == "POST" && path.starts_with(pathPrefix);
    const auto found = isPeerPath ? m_shared.methods.find(path.substr(pathPrefix.size())) : m_shared.methods.end();
    if (found == m_shared.methods.end()) {
        refuse(stream, PeerErrorCode::UnknownMethod, "no such method");
        return false;
    }
    state.method = found->first;
    state.entry = &found->second;
    if (m_shared.stopping) {
        refuse(stream, PeerErrorCode::Stopping, "the instance is shutting down");
        return false;
    }
    return true;
}

bool ServerConnection::onChunk(std::int32_t stream, std::size_t before, std::size_t size)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end())
        return false;
    if (size > m_shared.options.maxMessageBytes || before > m_shared.options.maxMessageBytes - size) {
        refuse(stream, PeerErrorCode::TooLarge, fmt::format("the request exceeds {} bytes", m_shared.options.maxMessageBytes));
        return false;
    }
    if (m_shared.bufferedBytes + size > m_shared.options.maxBufferedBytes) {
        refuse(stream, PeerErrorCode::Overloaded, "the buffers are full");
        return false;
    }
    m_shared.bufferedBytes += size;
    found->second.buffered += size;
    return true;
}

void ServerConnection::onMessage(std::int32_t stream, Http2Message message)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end())
        return;
    found->second.receiving = false;
    m_shared.options.traffic->countIn(found->second.method, message.body.size());
    dispatch(stream, found->second, std::move(message.body));
}

void ServerConnection::onStreamClosed(std::int32_t stream)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end())
        return;
    release(found->second);
    m_streams.erase(found);
}

void ServerConnection::release(Stream& state) noexcept
{
    m_shared.bufferedBytes -= state.buffered;
    state.buffered = 0;
}

void ServerConnection::dispatch(std::int32_t stream, const Stream& state, std::string body)
{
    PeerRequest request { state.method, std::move(body), m_remote, state.deadline };
    if (state.entry->deferred)
        return dispatchDeferred(stream, *state.entry, std::move(request));
    auto job = [weak = weak_from_this(), shared = &m_shared, entry = state.entry, stream, request = std::move(request)] {
        const bool expired = SystemClock().now() >= request.deadline;
        PeerReply reply = expired ? PeerReply() : runHandler(entry->handler, request);
        asio::post(shared->io, [weak, shared, stream, expired, reply = std::move(reply)] {
            --shared->inProgress;
            const auto self = weak.lock();
            if (!self)
                return;
            if (expired)
                self->refuse(stream, PeerErrorCode::Expired, "the deadline passed before the handler started");
            else
                self->respond(stream, reply);
        });
    };
    ++m_shared.inProgress;
    if (state.entry->lane->post(std::move(job)))
        return;
    --m_shared.inProgress;
    refuse(stream, PeerErrorCode::Overloaded, "the queue of the method is full");
}

void ServerConnection::dispatchDeferred(std::int32_t stream, const MethodEntry& entry, PeerRequest request)
{
    /// Responds to the stream once, at the latest when the last copy of the responder is destroyed.
    struct Pending {
        Pending(std::shared_ptr<ServerShared> owner, std::weak_ptr<ServerConnection> of, std::int32_t number)
            : shared(std::move(owner))
            , connection(std::move(of))
            , stream(number)
        {
            ++shared->inProgress;
        }
        Pending(const Pending&) = delete;
        Pending& operator=(const Pending&) = delete;
        ~Pending() { answer(tl::unexpected(std::string("the handler gave no answer"))); }

        void answer(PeerReply reply)
        {
            if (isAnswered.exchange(true))
                return;
            // The closure belongs to the event loop of the shared state, so it must not own that state.
            asio::post(shared->io, [&state = *shared, weak = connection, number = stream, reply = std::move(reply)] {
                --state.inProgress;
                if (const auto self = weak.lock())
                    self->respond(number, reply);
            });
        }

        std::shared_ptr<ServerShared> shared;
        std::weak_ptr<ServerConnection> connection;
        std::int32_t stream;
        std::atomic<bool> isAnswered = false;
    };
    const auto pending = std::make_shared<Pending>(m_shared.shared_from_this(), weak_from_this(), stream);
    entry.deferred(std::move(request), [pending](PeerReply reply) { pending->answer(std::move(reply)); });
}

void ServerConnection::respond(std::int32_t stream, const PeerReply& reply)
{
    if (!reply)
        return refuse(stream, PeerErrorCode::Failed, reply.error());
    if (reply->size() > m_shared.options.maxMessageBytes)
        return refuse(stream, PeerErrorCode::Failed, fmt::format("the response exceeds {} bytes", m_shared.options.maxMessageBytes));
    submit(stream, "200", {}, *reply);
}

void ServerConnection::refuse(std::int32_t stream, PeerErrorCode code, const std::string& message)
{
    const std::string_view status = code == PeerErrorCode::Unauthorized ? "401" : "503";
    submit(stream, status, peerErrorName(code), message);
}

void ServerConnection::submit(std::int32_t stream, std::string_view status, std::string_view error, std::string body)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end())
        return;
    Stream& state = found->second;
    state.receiving = false;
    state.responded = true;
    state.started = m_clock.now();
    release(state);
    state.buffered = body.size();
    m_shared.bufferedBytes += body.size();
    std::vector<HeaderField> fields { { ":status", std::string(status) } };
    if (!state.requestId.empty())
        fields.push_back({ std::string(requestIdField), state.requestId });
    if (!error.empty())
        fields.push_back({ std::string(errorField), std::string(error) });
    m_shared.options.traffic->countOut(state.method, body.size());
    m_link->submitResponse(stream, fields, std::move(body));
    m_link->flush();
}

}
