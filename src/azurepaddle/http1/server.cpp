#include "azurepaddle/http1/server.hpp"

#include "azurepaddle/http1/server_connection.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>
#include <vector>

namespace azurepaddle::http1 {

namespace {

    constexpr auto sweepInterval = std::chrono::milliseconds(250);
    // Delay after an accept that failed for lack of descriptors or memory.
    constexpr auto acceptRetryDelay = std::chrono::milliseconds(100);

}

Exchange::Exchange(std::shared_ptr<internal::ServerConnection> connection, Request request, TimePoint receivedAt, std::unique_ptr<BodyShare> share)
    : m_connection(std::move(connection))
    , m_request(std::move(request))
    , m_receivedAt(receivedAt)
    , m_share(std::move(share))
{
}

Exchange::~Exchange()
{
    m_onClosed = nullptr;
    abort();
}

bool Exchange::isOpen() const noexcept
{
    return m_connection && !m_connection->isClosed();
}

void Exchange::respond(Response response)
{
    m_onClosed = nullptr;
    if (const auto connection = std::exchange(m_connection, nullptr); connection && !connection->isClosed())
        connection->respond(std::move(response), m_request.method == "HEAD");
}

void Exchange::beginStream(Response head)
{
    if (isOpen())
        m_connection->beginStream(std::move(head));
}

void Exchange::sendChunk(std::string_view bytes)
{
    if (isOpen())
        m_connection->sendChunk(bytes);
}

void Exchange::endStream()
{
    m_onClosed = nullptr;
    if (const auto connection = std::exchange(m_connection, nullptr); connection && !connection->isClosed())
        connection->endStream();
}

void Exchange::cutStream()
{
    m_onClosed = nullptr;
    if (const auto connection = std::exchange(m_connection, nullptr); connection && !connection->isClosed())
        connection->cutStream();
}

std::size_t Exchange::unsentBytes() const noexcept
{
    return m_connection ? m_connection->unsentBytes() : 0;
}

void Exchange::abort()
{
    m_onClosed = nullptr;
    if (const auto connection = std::exchange(m_connection, nullptr))
        connection->close();
}

void Exchange::setOnClosed(std::function<void()> onClosed)
{
    m_onClosed = std::move(onClosed);
}

void Exchange::clientLeft()
{
    m_connection = nullptr;
    if (const auto onClosed = std::exchange(m_onClosed, nullptr))
        onClosed();
}

Server::Server(asio::io_context& io, Handler handler, ServerLimits limits, std::shared_ptr<BodyBudget> budget)
    : m_shared(std::make_shared<Shared>(Shared { io, std::move(handler), limits, std::move(budget), false, false, {} }))
    , m_acceptor(io)
    , m_sweepTimer(io)
    , m_acceptTimer(io)
{
}

Server::~Server()
{
    close();
}

tl::expected<void, std::string> Server::listen(const InstanceAddress& address)
{
    std::error_code error;
    const auto ip = asio::ip::make_address(address.ip, error);
    if (error)
        return tl::unexpected(fmt::format("{} is not an IP address", address.ip));
    const asio::ip::tcp::endpoint endpoint(ip, address.port);
    m_acceptor.open(endpoint.protocol(), error);
    if (!error)
        m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(endpoint, error);
    if (!error)
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return tl::unexpected(fmt::format("cannot listen on {}: {}", formatAddress(address), error.message()));
    accept();
    sweep();
    return {};
}

InstanceAddress Server::address() const
{
    const auto endpoint = m_acceptor.local_endpoint();
    return { endpoint.address().to_string(), endpoint.port() };
}

void Server::accept()
{
    m_acceptor.async_accept([this](std::error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted || !m_acceptor.is_open())
            return;
        if (error) {
            m_acceptTimer.expires_after(acceptRetryDelay);
            m_acceptTimer.async_wait([this](std::error_code waitError) {
                if (!waitError)
                    accept();
            });
            return;
        }
        if (m_shared->connections.size() < m_shared->limits.maxConnections) {
            std::error_code ignored;
            socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            const auto connection = std::make_shared<internal::ServerConnection>(m_shared, std::move(socket));
            m_shared->connections.insert(connection);
            connection->start();
        }
        accept();
    });
}

void Server::sweep()
{
    if (m_shared->isClosed)
        return;
    const TimePoint now = m_shared->clock.now();
    const std::vector<std::shared_ptr<internal::ServerConnection>> open(m_shared->connections.begin(), m_shared->connections.end());
    for (const auto& connection : open)
        connection->checkTimeouts(now);
    m_sweepTimer.expires_after(sweepInterval);
    m_sweepTimer.async_wait([this](std::error_code error) {
        if (!error)
            sweep();
    });
}

void Server::setLimits(const ServerLimits& limits)
{
    m_shared->limits = limits;
}

void Server::beginDrain()
{
    m_shared->isDraining = true;
}

void Server::closeIdle()
{
    const std::vector<std::shared_ptr<internal::ServerConnection>> open(m_shared->connections.begin(), m_shared->connections.end());
    for (const auto& connection : open) {
        if (connection->isIdle())
            connection->close();
    }
}

void Server::close()
{
    if (std::exchange(m_shared->isClosed, true))
        return;
    std::error_code ignored;
    m_acceptor.close(ignored);
    m_sweepTimer.cancel();
    m_acceptTimer.cancel();
    const std::vector<std::shared_ptr<internal::ServerConnection>> open(m_shared->connections.begin(), m_shared->connections.end());
    for (const auto& connection : open)
        connection->close();
}

std::size_t Server::connections() const noexcept
{
    return m_shared->connections.size();
}

std::size_t Server::requestsInProgress() const noexcept
{
    return static_cast<std::size_t>(std::count_if(m_shared->connections.begin(), m_shared->connections.end(), [](const auto& connection) { return connection->isBusy(); }));
}

}
