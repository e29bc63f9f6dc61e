#include "azurepaddle/transport/peer_client.hpp"

#include "azurepaddle/core/digest.hpp"
#include "azurepaddle/core/invariant.hpp"
#include "azurepaddle/core/random.hpp"
#include "azurepaddle/transport/client_connection.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <future>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

namespace azurepaddle::transport {

namespace {

    using internal::Call;
    using internal::CallPointer;
    using internal::ClientConnection;

    // Interval of the checks for silent connections and idle peers.
    constexpr auto maxSweepInterval = std::chrono::milliseconds(100);
    constexpr unsigned maxBackoffDoublings = 16;
    constexpr std::size_t requestIdPrefixBytes = 4;

    CallResult notSent(const std::string& message)
    {
        return tl::unexpected(TransportError(TransportErrorCode::NotSent, message));
    }

    /// The state of one peer. Used on the I/O thread.
    struct Peer {
        std::shared_ptr<ClientConnection> connection; ///< Used for new calls once it is ready.
        std::vector<CallPointer> waiting; ///< Calls that wait until the connection is ready.
        std::size_t calls = 0; ///< Calls in progress on all connections to the peer.
        unsigned failures = 0; ///< Consecutive connections that failed before any response.
        TimePoint retryAt;
        TimePoint lastUsed;
    };

}

struct PeerClient::Implementation {
    explicit Implementation(ClientOptions clientOptions)
        : options(std::move(clientOptions))
    {
    }

    void post(CallPointer call);
    void begin(const CallPointer& call);
    void armDeadline(const CallPointer& call);
    void expire(const CallPointer& call);
    void open(const InstanceAddress& address, Peer& peer);
    void onReady(const InstanceAddress& address, const ClientConnection* connection);
    void onDown(const InstanceAddress& address, const ClientConnection* connection, const std::string& reason, bool wasReady);
    void onGoaway(const InstanceAddress& address, const ClientConnection* connection);
    [[nodiscard]] Duration backoff(unsigned failures);
    void sweep();
    void checkPeers(TimePoint now);
    void shutDown();

    ClientOptions options;
    internal::TlsContext tls;
    asio::io_context io { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> work { io.get_executor() };
    asio::steady_timer sweepTimer { io };
    std::map<InstanceAddress, Peer> peers;
    std::size_t bufferedBytes = 0;
    std::vector<std::shared_ptr<ClientConnection>> connections; ///< Connections that accept calls and connections that drain.
    SystemClock clock;
    TimePoint lastSweep;
    Random random { std::random_device {}() };
    std::string requestIdPrefix = randomHex(requestIdPrefixBytes);
    std::uint64_t requestCount = 0;
    std::mutex mutex;
    bool running = false; ///< Guarded by the mutex.
    std::thread thread;
};

void PeerClient::Implementation::post(CallPointer call)
{
    const std::size_t size = call->body.size();
    if (size > options.maxMessageBytes)
        return call->finish(notSent(fmt::format("the request of {} bytes exceeds {}", size, options.maxMessageBytes)));
    {
        const std::lock_guard lock(mutex);
        if (running) {
            asio::post(io, [this, call = std::move(call)] { begin(call); });
            return;
        }
    }
    call->finish(notSent("the client is not running"));
}

void PeerClient::Implementation::begin(const CallPointer& call)
{
    const TimePoint now = clock.now();
    if (now >= call->deadline)
        return call->finish(notSent("the deadline passed before the request was sent"));
    if (peers.size() >= options.maxPeers && !peers.contains(call->peer))
        return call->finish(notSent("too many peers"));
    Peer& peer = peers[call->peer];
    peer.lastUsed = now;
    if (peer.calls >= options.maxCallsPerPeer)
        return call->finish(notSent("too many calls to the peer are in progress"));
    if (!peer.connection && now < peer.retryAt) {
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(peer.retryAt - now);
        return call->finish(notSent(fmt::format("the peer was unreachable; the next attempt is in {} ms", wait.count())));
    }
    const std::size_t size = call->body.size();
    if (bufferedBytes + size > options.maxBufferedBytes)
        return call->finish(notSent("the request buffers are full"));
    ++peer.calls;
    bufferedBytes += size;
    call->onDone = [this, address = call->peer, size] {
        --peers.at(address).calls;
        bufferedBytes -= size;
    };
    call->requestId = fmt::format("{}-{:x}", requestIdPrefix, ++requestCount);
    armDeadline(call);
    if (peer.connection && peer.connection->ready())
        return peer.connection->send(call);
    peer.waiting.push_back(call);
    if (!peer.connection)
        open(call->peer, peer);
}

void PeerClient::Implementation::armDeadline(const CallPointer& call)
{
    if (call->deadline == TimePoint::max())
        return;
    call->timer = std::make_unique<asio::steady_timer>(io);
    call->timer->expires_after(call->deadline - clock.now());
    call->timer->async_wait([this, weak = std::weak_ptr<Call>(call)](std::error_code error) {
        const CallPointer expired = weak.lock();
        if (!error && expired && !expired->done())
            expire(expired);
    });
}

void PeerClient::Implementation::expire(const CallPointer& call)
{
    std::erase(peers.at(call->peer).waiting, call);
    if (const auto connection = call->connection.lock())
        connection->cancel(call->stream);
    if (call->sent)
        call->fail(TransportErrorCode::Deadline, "the deadline passed before the response came");
    else
        call->fail(TransportErrorCode::NotSent, "the deadline passed before the request was sent");
}

void PeerClient::Implementation::open(const InstanceAddress& address, Peer& peer)
{
    internal::ConnectionEvents events;
    const auto self = std::make_shared<const ClientConnection*>(nullptr);
    events.onReady = [this, address, self] { onReady(address, *self); };
    events.onGoaway = [this, address, self] { onGoaway(address, *self); };
    events.onDown = [this, address, self](const std::string& reason, bool wasReady) { onDown(address, *self, reason, wasReady); };
    events.onResponse = [this, address] { peers.at(address).failures = 0; };
    peer.connection = std::make_shared<ClientConnection>(io, options, tls, address, std::move(events));
    *self = peer.connection.get();
    connections.push_back(peer.connection);
    peer.connection->connect();
}

void PeerClient::Implementation::onReady(const InstanceAddress& address, const ClientConnection* connection)
{
    Peer& peer = peers.at(address);
    if (peer.connection.get() != connection)
        return;
    const auto kept = peer.connection;
    for (const CallPointer& call : std::exchange(peer.waiting, {}))
        kept->send(call);
}

void PeerClient::Implementation::onDown(const InstanceAddress& address, const ClientConnection* connection, const std::string& reason, bool wasReady)
{
    Peer& peer = peers.at(address);
    if (peer.connection.get() != connection)
        return;
    peer.connection.reset();
    // A connection on which a response was received is replaced at once; any other one counts as a failed attempt.
    const bool failed = !wasReady || peer.failures > 0;
    ++peer.failures;
    peer.retryAt = failed ? clock.now() + backoff(peer.failures) : clock.now();
    for (const CallPointer& call : std::exchange(peer.waiting, {}))
        call->failBySent(reason);
}

void PeerClient::Implementation::onGoaway(const InstanceAddress& address, const ClientConnection* connection)
{
    Peer& peer = peers.at(address);
    if (peer.connection.get() == connection)
        peer.connection.reset();
}

Duration PeerClient::Implementation::backoff(unsigned failures)
{
    const unsigned doublings = std::min(failures - 1, maxBackoffDoublings);
    const Duration longest = std::min<Duration>(options.minBackoff * (1U << doublings), options.maxBackoff);
    // Jitter prevents instances from connecting to a restarted peer at the same time.
    const double factor = 0.5 + random.uniform() / 2;
    return std::chrono::duration_cast<Duration>(longest * factor);
}

void PeerClient::Implementation::sweep()
{
    // The handler of a timer that has already fired runs despite the shutdown, and must not start the timer again.
    if (!work.owns_work())
        return;
    const Duration interval = std::min<Duration>(maxSweepInterval, options.pingDeadline / 4);
    const TimePoint now = clock.now();
    const Duration lag = std::max<Duration>(Duration::zero(), now - lastSweep - 2 * interval);
    lastSweep = now;
    for (std::size_t i = 0; i < connections.size(); ++i) {
        const auto connection = connections[i];
        const bool unused = connection->idle() && (connection->draining() || now - connection->lastUsed() > options.idleTimeout);
        if (connection->ready() && unused)
            connection->shutDown("the connection is not needed any more");
        else
            connection->checkSilence(now, lag);
    }
    std::erase_if(connections, [](const auto& connection) { return connection->down(); });
    checkPeers(now);
    sweepTimer.expires_after(interval);
    sweepTimer.async_wait([this](std::error_code error) {
        if (!error)
            sweep();
    });
}

void PeerClient::Implementation::checkPeers(TimePoint now)
{
    std::set<InstanceAddress> connected;
    for (const auto& connection : connections)
        connected.insert(connection->peer());
    std::erase_if(peers, [&](const auto& entry) {
        const auto& [address, peer] = entry;
        return peer.calls == 0 && !connected.contains(address) && now - peer.lastUsed > options.idleTimeout;
    });
}

void PeerClient::Implementation::shutDown()
{
    for (const auto& connection : std::exchange(connections, {}))
        connection->shutDown("the client is stopping");
    sweepTimer.cancel();
    work.reset();
}

PeerClient::PeerClient(ClientOptions options)
    : m_implementation(std::make_unique<Implementation>(std::move(options)))
{
}

PeerClient::~PeerClient()
{
    stop();
}

tl::expected<void, TransportError> PeerClient::start()
{
    Implementation& self = *m_implementation;
    AZUREPADDLE_INVARIANT(!self.thread.joinable(), "a peer client starts once");
    if (self.options.secret.empty() && !self.options.tls)
        return tl::unexpected(TransportError(TransportErrorCode::Setup, "peers need a shared secret or certificates"));
    if (self.options.tls) {
        auto context = internal::makeTlsContext(*self.options.tls, internal::TlsRole::Client);
        if (!context)
            return tl::unexpected(context.error());
        self.tls = *context;
    }
    self.lastSweep = self.clock.now();
    self.sweep();
    self.running = true;
    self.thread = std::thread([&self] { self.io.run(); });
    return {};
}

void PeerClient::stop()
{
    Implementation& self = *m_implementation;
    {
        const std::lock_guard lock(self.mutex);
        if (!std::exchange(self.running, false))
            return;
        asio::post(self.io, [&self] { self.shutDown(); });
    }
    self.thread.join();
}

CallResult PeerClient::call(const InstanceAddress& peer, const std::string& method, std::string body, Deadline deadline)
{
    if (std::this_thread::get_id() == m_implementation->thread.get_id())
        return notSent("a blocking call on the client's own thread would never end");
    const auto promise = std::make_shared<std::promise<CallResult>>();
    std::future<CallResult> result = promise->get_future();
    send(peer, method, std::move(body), deadline, [promise](CallResult reply) { promise->set_value(std::move(reply)); });
    return result.get();
}

void PeerClient::send(const InstanceAddress& peer, const std::string& method, std::string body, Deadline deadline, Completion completion)
{
    auto call = std::make_shared<Call>();
    call->peer = peer;
    call->method = method;
    call->body = std::move(body);
    call->deadline = deadline;
    call->completion = std::move(completion);
    m_implementation->post(std::move(call));
}

void PeerClient::send(const InstanceAddress& peer, const std::string& method, std::string body, Deadline deadline)
{
    send(peer, method, std::move(body), deadline, [](const CallResult&) {});
}

TrafficSnapshot PeerClient::traffic() const
{
    return m_implementation->options.traffic->snapshot();
}

}
