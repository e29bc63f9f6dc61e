#include "azurepaddle/transport/peer_server.hpp"

#include "azurepaddle/core/invariant.hpp"
#include "azurepaddle/core/log.hpp"
#include "azurepaddle/transport/server_connection.hpp"

#include <fmt/format.h>
#include <thread>
#include <unordered_set>

namespace azurepaddle::transport {

namespace {

    // Interval of the checks for timeouts of connections.
    constexpr auto sweepInterval = std::chrono::milliseconds(50);
    // Delay after accept failed for lack of descriptors or memory.
    constexpr auto acceptRetryDelay = std::chrono::milliseconds(100);
    // Interval of the checks whether all requests in progress are complete and their responses are written.
    constexpr auto stopPollInterval = std::chrono::milliseconds(5);

    tl::unexpected<TransportError> setupError(std::string message)
    {
        return tl::unexpected(TransportError(TransportErrorCode::Setup, std::move(message)));
    }

}

struct PeerServer::Implementation {
    explicit Implementation(ServerOptions options)
        : sharedOwner(std::make_shared<internal::ServerShared>(std::move(options)))
    {
    }

    tl::expected<void, TransportError> listen();
    void accept();
    void admit(internal::Tcp::socket socket);
    void sweep();
    void closeAll();

    const std::shared_ptr<internal::ServerShared> sharedOwner;
    internal::ServerShared& shared { *sharedOwner };
    internal::Tcp::acceptor acceptor { shared.io };
    asio::steady_timer sweepTimer { shared.io };
    asio::steady_timer acceptTimer { shared.io };
    std::unordered_set<std::shared_ptr<internal::ServerConnection>> connections;
    InstanceAddress address;
    Log log { "transport" };
    SystemClock clock;
    std::thread thread;
    bool started = false;
    bool closed = false; ///< Used on the I/O thread.
};

tl::expected<void, TransportError> PeerServer::Implementation::listen()
{
    std::error_code error;
    const auto ip = asio::ip::make_address(shared.options.listen.ip, error);
    if (error)
        return setupError(fmt::format("{} is not an IP address", shared.options.listen.ip));
    const internal::Tcp::endpoint endpoint(ip, shared.options.listen.port);
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(internal::Tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return setupError(fmt::format("cannot listen on {}: {}", formatAddress(shared.options.listen), error.message()));
    address = { shared.options.listen.ip, acceptor.local_endpoint().port() };
    return {};
}

void PeerServer::Implementation::accept()
{
    acceptor.async_accept([this](std::error_code error, internal::Tcp::socket socket) {
        if (error == asio::error::operation_aborted || !acceptor.is_open())
            return;
        if (!error) {
            admit(std::move(socket));
            return accept();
        }
        log.warning("cannot accept a connection: {}", error.message());
        acceptTimer.expires_after(acceptRetryDelay);
        acceptTimer.async_wait([this](std::error_code waitError) {
            if (!waitError)
                accept();
        });
    });
}

void PeerServer::Implementation::admit(internal::Tcp::socket socket)
{
    if (connections.size() >= shared.options.maxConnections)
        return; // The socket closes as it goes out of scope.
    std::error_code error;
    const auto remote = socket.remote_endpoint(error);
    if (error)
        return;
    socket.set_option(internal::Tcp::no_delay(true), error);
    const std::string name = formatAddress({ remote.address().to_string(), remote.port() });
    const auto connection = std::make_shared<internal::ServerConnection>(shared, std::move(socket), name);
    connections.insert(connection);
    shared.connections = connections.size();
    shared.options.traffic->countOpened();
    connection->start();
}

void PeerServer::Implementation::sweep()
{
    // The handler of a timer that has already fired runs despite the stop, and must not start the timer again.
    if (closed)
        return;
    const TimePoint now = clock.now();
    std::erase_if(connections, [now](const auto& connection) {
        if (!connection->closed())
            connection->checkTimeouts(now);
        return connection->closed();
    });
    shared.connections = connections.size();
    sweepTimer.expires_after(sweepInterval);
    sweepTimer.async_wait([this](std::error_code error) {
        if (!error)
            sweep();
    });
}

void PeerServer::Implementation::closeAll()
{
    closed = true;
    for (const auto& connection : connections)
        connection->close();
    connections.clear();
    sweepTimer.cancel();
    acceptTimer.cancel();
}

PeerServer::PeerServer(ServerOptions options)
    : m_implementation(std::make_unique<Implementation>(std::move(options)))
{
}

PeerServer::~PeerServer()
{
    stop();
}

void PeerServer::handle(const std::string& method, PeerHandler handler, HandlerOptions options)
{
    AZUREPADDLE_INVARIANT(!m_implementation->started, "handlers must be registered before the server starts");
    m_implementation->shared.methods[method] = { std::move(handler), nullptr, options, nullptr };
}

void PeerServer::handleDeferred(const std::string& method, DeferredHandler handler)
{
    AZUREPADDLE_INVARIANT(!m_implementation->started, "handlers must be registered before the server starts");
    m_implementation->shared.methods[method] = { nullptr, std::move(handler), {}, nullptr };
}

tl::expected<void, TransportError> PeerServer::start()
{
    Implementation& self = *m_implementation;
    AZUREPADDLE_INVARIANT(!self.started, "a peer server starts once");
    if (self.shared.options.secret.empty() && !self.shared.options.tls)
        return setupError("peers need a shared secret or certificates");
    if (self.shared.options.tls) {
        auto context = internal::makeTlsContext(*self.shared.options.tls, internal::TlsRole::Server);
        if (!context)
            return tl::unexpected(context.error());
        self.shared.tls = *context;
    }
    if (auto listening = self.listen(); !listening)
        return listening;
    for (auto& [name, entry] : self.shared.methods) {
        if (entry.handler)
            entry.lane = std::make_unique<internal::WorkerLane>(entry.options.threads, entry.options.maxQueued);
    }
    self.started = true;
    self.accept();
    self.sweep();
    self.thread = std::thread([&self] { self.shared.io.run(); });
    return {};
}

void PeerServer::stop()
{
    Implementation& self = *m_implementation;
    if (!self.started || !self.thread.joinable())
        return;
    self.shared.stopping = true;
    asio::post(self.shared.io, [&self] {
        self.acceptor.close();
        for (const auto& connection : self.connections)
            connection->goaway();
    });
    const TimePoint giveUp = self.clock.now() + self.shared.options.stopTimeout;
    while ((self.shared.inProgress > 0 || self.shared.connections > 0) && self.clock.now() < giveUp)
        std::this_thread::sleep_for(stopPollInterval);
    for (auto& [name, entry] : self.shared.methods) {
        if (entry.lane)
            entry.lane->stop();
    }
    asio::post(self.shared.io, [&self] { self.closeAll(); });
    self.thread.join();
}

InstanceAddress PeerServer::address() const
{
    return m_implementation->address;
}

TrafficSnapshot PeerServer::traffic() const
{
    return m_implementation->shared.options.traffic->snapshot();
}

}
