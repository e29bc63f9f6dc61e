#include "azurepaddle/http1/client.hpp"

#include "azurepaddle/http1/client_connection.hpp"
#include "azurepaddle/http1/grammar.hpp"

#include <algorithm>
#include <charconv>
#include <netinet/tcp.h>
#include <optional>
#include <utility>

namespace azurepaddle::http1 {

namespace internal {

    namespace {

        // A connection breaks if the peer acknowledges neither bytes nor keep-alive probes for this long. Keep-alive
        // probes that start later than this would never be sent in time.
        constexpr unsigned userTimeoutMs = 2000;
        constexpr int keepAliveIdleSeconds = 1;
        constexpr int keepAliveIntervalSeconds = 1;
        // The server may close a connection this much before the timeout that it states.
        constexpr Duration keepAliveMargin = std::chrono::milliseconds(1000);

        /// Returns the idle timeout that the server states; empty if it states none.
        std::optional<Duration> keepAliveTime(const Response& head)
        {
            const std::string_view value = head.fields.find("Keep-Alive");
            constexpr std::string_view key = "timeout=";
            const std::size_t at = value.find(key);
            if (at == std::string_view::npos)
                return std::nullopt;
            unsigned seconds = 0;
            const char* first = value.data() + at + key.size();
            if (std::from_chars(first, value.data() + value.size(), seconds).ptr == first)
                return std::nullopt;
            return std::chrono::seconds(seconds);
        }

    }

    ClientConnection::ClientConnection(std::shared_ptr<ClientShared> shared, InstanceAddress address)
        : m_shared(std::move(shared))
        , m_address(std::move(address))
        , m_socket(m_shared->io)
        , m_timer(m_shared->io)
        , m_parser(m_shared->limits)
    {
        ++m_shared->addresses[m_address].open;
    }

    void ClientConnection::begin(std::string head, std::shared_ptr<const std::string> body, const CallOptions& options, CallEvents events, std::uint64_t call)
    {
        m_head = std::move(head);
        m_body = std::move(body);
        m_options = options;
        m_events = std::make_shared<const CallEvents>(std::move(events));
        m_call = call;
        m_isSent = false;
        m_isHeadDelivered = false;
        m_isDiscarding = false;
        resetParser();
        if (m_isConnected) {
            armTimer(m_options.deadline);
            return writeRequest();
        }
        m_connectBy = std::min(m_options.deadline, m_shared->clock.now() + m_options.connectTimeout);
        armTimer(m_connectBy);
        connect();
    }

    void ClientConnection::resetParser()
    {
        MessageLimits limits = m_shared->limits;
        limits.bodyBytes = std::min(limits.bodyBytes, m_options.maxBodyBytes);
        m_parser = ResponseParser(limits);
    }

    void ClientConnection::armTimer(TimePoint at)
    {
        if (at == TimePoint::max()) {
            m_timer.cancel();
            return;
        }
        m_timer.expires_after(std::max(at - m_shared->clock.now(), Duration::zero()));
        m_timer.async_wait([self = shared_from_this(), call = m_call](std::error_code error) {
            if (error || self->m_call != call || self->m_isClosed)
                return;
            if (!self->m_isConnected) {
                self->m_shared->observeLink(false);
                return self->finish(CallEndKind::ConnectFailed, "connecting took too long");
            }
            self->finish(CallEndKind::TimedOut, "deadline exceeded");
        });
    }

    void ClientConnection::connect()
    {
        std::error_code error;
        const auto ip = asio::ip::make_address(m_address.ip, error);
        if (error) {
            asio::post(m_shared->io, [self = shared_from_this()] { self->finish(CallEndKind::ConnectFailed, "the address is not an IP address"); });
            return;
        }
        m_socket.async_connect({ ip, m_address.port }, [self = shared_from_this()](std::error_code connectError) {
            if (self->m_isClosed)
                return;
            self->m_shared->observeLink(!connectError);
            if (connectError)
                return self->finish(CallEndKind::ConnectFailed, connectError.message());
            // After a suspension, the connection may be ready before the timer: a late request must not be sent.
            if (self->m_shared->clock.now() >= self->m_connectBy)
                return self->finish(CallEndKind::ConnectFailed, "connecting took too long");
            self->m_isConnected = true;
            self->setOptions();
            self->armTimer(self->m_options.deadline);
            self->writeRequest();
            self->read();
        });
    }

    /// Lets the system detect a silent peer, also while the connection is idle.
    void ClientConnection::setOptions()
    {
        using asio::detail::socket_option::integer;
        std::error_code ignored;
        m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        m_socket.set_option(asio::socket_base::keep_alive(true), ignored);
        m_socket.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(keepAliveIdleSeconds), ignored);
        m_socket.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>(keepAliveIntervalSeconds), ignored);
        m_socket.set_option(integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(userTimeoutMs), ignored);
    }

    void ClientConnection::writeRequest()
    {
        m_write.begin();
        m_isSent = true;
        const std::array<asio::const_buffer, 2> buffers { asio::buffer(m_head), asio::buffer(*m_body) };
        asio::async_write(m_socket, buffers, [self = shared_from_this()](std::error_code error, std::size_t) {
            self->m_write.finish(error);
            // No further call begins on this connection while it is writing.
            self->m_body.reset();
            // A failed write does not end the call: the read first delivers a response that arrived early.
        });
    }

    void ClientConnection::read()
    {
        m_socket.async_read_some(asio::buffer(m_buffer), [self = shared_from_this()](std::error_code error, std::size_t size) { self->onRead(error, size); });
    }

    void ClientConnection::onRead(const std::error_code& error, std::size_t size)
    {
        if (m_isClosed)
            return;
        if (error != asio::error::eof)
            m_shared->observeLink(!error);
        if (m_call == 0)
            return close(); // The server closed an idle connection, or sent bytes without a request.
        if (error == asio::error::eof && m_parser.hasStarted() && m_parser.feedEnd()) {
            if (!m_isHeadDelivered && !deliverHead())
                return;
            const std::uint64_t call = m_call;
            deliverBody();
            if (m_call == call && !m_isDiscarding)
                return finishAtEnd();
        }
        if (m_isClosed || m_call == 0)
            return;
        if (error)
            return finish(CallEndKind::Lost, error.message());
        receive(std::string(m_buffer.data(), size));
        if (!m_isClosed)
            read();
    }

    /// Ends a call whose response has no length and is delivered up to the end of the connection.
    void ClientConnection::finishAtEnd()
    {
        const TimePoint now = m_shared->clock.now();
        // Half of the remaining time, so that a response that turns out to be complete is passed on before the deadline.
        m_undecidedUntil = now + std::min<Duration>(RequestWrite::maxUndecidedTime, (m_options.deadline - now) / 2);
        decideEnd();
    }

    void ClientConnection::decideEnd()
    {
        const ConnectionEnd meaning = m_write.meaningOfEnd(m_socket.native_handle());
        if (meaning == ConnectionEnd::Broken)
            return finish(CallEndKind::Lost, "the connection broke before the request was taken");
        if (meaning == ConnectionEnd::Complete || m_shared->clock.now() >= m_undecidedUntil)
            return finish(CallEndKind::Complete, {});
        m_timer.expires_after(RequestWrite::checkInterval);
        m_timer.async_wait([self = shared_from_this(), call = m_call](std::error_code error) {
            if (!error && self->m_call == call && !self->m_isClosed)
                self->decideEnd();
        });
    }

    void ClientConnection::receive(std::string bytes)
    {
        const std::uint64_t call = m_call;
        while (!bytes.empty() && m_call == call && !m_isClosed) {
            const auto taken = m_parser.feed(bytes);
            if (!taken)
                return failInvalid(taken.error());
            if (!m_isHeadDelivered && m_parser.isHeaderDone() && !deliverHead())
                return;
            if (m_call != call)
                return;
            deliverBody();
            if (m_call != call || m_isClosed)
                return;
            std::string rest = bytes.substr(*taken);
            if (!m_parser.isDone())
                return;
            const bool isForeign = std::exchange(m_isDiscarding, false);
            if (!isForeign)
                return onMessageComplete(rest);
            resetParser();
            m_isHeadDelivered = false;
            bytes = std::move(rest);
        }
    }

    /// Returns false if the call ended or was cancelled by its owner.
    bool ClientConnection::deliverHead()
    {
        m_isHeadDelivered = true;
        const std::uint64_t call = m_call;
        const auto events = m_events;
        m_isDiscarding = isInterim(m_parser.head().status) || (events->onHead && !events->onHead(m_parser.head()));
        return m_call == call && !m_isClosed;
    }

    void ClientConnection::deliverBody()
    {
        std::string body = m_parser.takeBody();
        const auto events = m_events;
        if (!body.empty() && !m_isDiscarding && events->onBody)
            events->onBody(std::move(body));
    }

    void ClientConnection::onMessageComplete(const std::string& rest)
    {
        const bool isClean = rest.empty() && m_parser.keepsAlive() && m_write.isWritten();
        const Duration kept = keepAliveTime(m_parser.head()).value_or(m_options.maxIdle + keepAliveMargin) - keepAliveMargin;
        const Duration idle = std::min(kept, m_options.maxIdle);
        if (!isClean || idle <= Duration::zero())
            return finish(CallEndKind::Complete, {});
        m_usableUntil = m_shared->clock.now() + idle;
        m_call = 0;
        m_timer.cancel();
        m_head.clear();
        const auto events = std::exchange(m_events, nullptr);
        m_shared->addresses[m_address].idle.push_back(shared_from_this());
        if (events->onEnd)
            events->onEnd({ CallEndKind::Complete, true, {} });
    }

    /// Ends the call because the received bytes are no answer. Nothing behind them is read.
    void ClientConnection::failInvalid(const ParseError& error)
    {
        m_shared->observeInvalidAnswer(m_address, error.message());
        finish(CallEndKind::Failed, error.message());
    }

    void ClientConnection::finish(CallEndKind kind, std::string message)
    {
        const auto events = std::exchange(m_events, nullptr);
        const bool hadCall = std::exchange(m_call, 0) != 0;
        const bool wasSent = m_isSent;
        close();
        if (hadCall && events->onEnd)
            events->onEnd({ kind, wasSent, std::move(message) });
    }

    void ClientConnection::cancel(std::uint64_t call)
    {
        if (m_call != call || m_isClosed)
            return;
        m_events = nullptr;
        m_call = 0;
        close();
    }

    void ClientConnection::close()
    {
        if (std::exchange(m_isClosed, true))
            return;
        const auto self = shared_from_this();
        m_timer.cancel();
        std::error_code ignored;
        m_socket.close(ignored);
        const auto found = m_shared->addresses.find(m_address);
        if (found == m_shared->addresses.end())
            return;
        std::erase(found->second.idle, self);
        if (--found->second.open == 0)
            m_shared->addresses.erase(found);
    }

}

namespace {

    class PooledCall final : public ClientCall {
    public:
        PooledCall(std::shared_ptr<internal::ClientConnection> connection, std::uint64_t call)
            : m_connection(std::move(connection))
            , m_call(call)
        {
        }
        void cancel() override
        {
            if (const auto connection = std::exchange(m_connection, nullptr))
                connection->cancel(m_call);
        }
        [[nodiscard]] bool isSent() const override { return !m_connection || m_connection->isSent(m_call); }

    private:
        std::shared_ptr<internal::ClientConnection> m_connection;
        std::uint64_t m_call;
    };

    /// A call that was rejected before it got a connection.
    class RefusedCall final : public ClientCall {
    public:
        void cancel() override { isCancelled = true; }
        [[nodiscard]] bool isSent() const override { return false; }
        bool isCancelled = false;
    };

}

ClientPool::ClientPool(asio::io_context& io, const MessageLimits& limits)
    : m_shared(std::make_shared<internal::ClientShared>(internal::ClientShared { io, limits }))
{
}

void ClientPool::setLinkObserver(std::function<void(bool isReachable)> observer)
{
    m_shared->linkObserver = std::move(observer);
}

void ClientPool::setInvalidAnswerObserver(std::function<void(const InstanceAddress&, const std::string& cause)> observer)
{
    m_shared->invalidAnswerObserver = std::move(observer);
}

ClientPool::~ClientPool()
{
    std::vector<std::shared_ptr<internal::ClientConnection>> idle;
    for (const auto& [address, connections] : m_shared->addresses)
        idle.insert(idle.end(), connections.idle.begin(), connections.idle.end());
    for (const auto& connection : idle)
        connection->close();
}

ClientCallPointer ClientPool::send(const InstanceAddress& address, Request request, const CallOptions& options, CallEvents events)
{
    auto body = std::make_shared<const std::string>(std::exchange(request.body, {}));
    return send(address, request, std::move(body), options, std::move(events));
}

ClientCallPointer ClientPool::send(const InstanceAddress& address, const Request& head, std::shared_ptr<const std::string> body, const CallOptions& options, CallEvents events)
{
    static std::uint64_t calls = 0;
    const std::uint64_t call = ++calls;
    const TimePoint now = m_shared->clock.now();
    std::shared_ptr<internal::ClientConnection> connection;
    while (!connection) {
        const auto found = m_shared->addresses.find(address);
        if (found == m_shared->addresses.end() || found->second.idle.empty())
            break;
        auto candidate = found->second.idle.back();
        found->second.idle.pop_back();
        if (candidate->isUsable(now))
            connection = std::move(candidate);
        else
            candidate->close();
    }
    if (!connection && connections(address) >= options.maxConnections) {
        auto refused = std::make_shared<RefusedCall>();
        asio::post(m_shared->io, [refused, events = std::move(events)] {
            if (!refused->isCancelled && events.onEnd)
                events.onEnd({ CallEndKind::NoConnection, false, "the maximum number of connections is in use" });
        });
        return refused;
    }
    if (!connection)
        connection = std::make_shared<internal::ClientConnection>(m_shared, address);
    const std::size_t bodyBytes = body->size();
    connection->begin(serializeHead(head, bodyBytes), std::move(body), options, std::move(events), call);
    return std::make_shared<PooledCall>(std::move(connection), call);
}

std::size_t ClientPool::connections(const InstanceAddress& address) const
{
    const auto found = m_shared->addresses.find(address);
    return found == m_shared->addresses.end() ? 0 : found->second.open;
}

}
