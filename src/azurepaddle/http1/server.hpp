#pragma once

#include "azurepaddle/core/address.hpp"
#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/log.hpp"
#include "azurepaddle/http1/body_budget.hpp"
#include "azurepaddle/http1/parser.hpp"

#include <asio.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <unordered_set>

namespace azurepaddle::http1 {

/// Limits of the requests of clients. They can be changed while the server runs.
struct ServerLimits {
    MessageLimits message;
    Duration headerTimeout = std::chrono::seconds(3); ///< From the first byte of a request to the end of its header.
    Duration idleTimeout = std::chrono::seconds(15); ///< Without a request in progress, or between two parts of a body.
    std::size_t maxConnections = 3000;

    friend bool operator==(const ServerLimits&, const ServerLimits&) = default;
};

namespace internal {
    class ServerConnection;
}

/// One request and its response. At most one response is sent. Destroying the exchange without a response closes the
/// connection. Not thread-safe.
class Exchange {
public:
    /// The room of the request's body in the budget, if there is one, is kept as long as the exchange.
    Exchange(std::shared_ptr<internal::ServerConnection> connection, Request request, TimePoint receivedAt, std::unique_ptr<BodyShare> share);
    ~Exchange();
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

    [[nodiscard]] const Request& request() const noexcept { return m_request; }
    /// The request, to be changed before it is passed on.
    [[nodiscard]] Request& request() noexcept { return m_request; }
    [[nodiscard]] TimePoint receivedAt() const noexcept { return m_receivedAt; }

    /// Whether the budget has room to decode the body, which takes this much memory in addition meanwhile.
    [[nodiscard]] bool mayDecode(std::size_t bytes) const noexcept { return !m_share || m_share->mayDecode(bytes); }

    /// Sends a complete response.
    void respond(Response response);
    /// Sends the head of a response whose body follows in chunks.
    void beginStream(Response head);
    void sendChunk(std::string_view bytes);
    /// Marks the streamed body as complete.
    void endStream();
    /// Ends a streamed body that is not complete: sends what was passed on so far and closes the connection, so that the
    /// client detects that the body is cut.
    void cutStream();
    /// Bytes of the response that the client has not taken yet.
    [[nodiscard]] std::size_t unsentBytes() const noexcept;
    /// Closes the connection without completing the response.
    void abort();

    /// Sets the function called if the client closes the connection before the response is complete.
    void setOnClosed(std::function<void()> onClosed);
    [[nodiscard]] bool isOpen() const noexcept;

private:
    friend class internal::ServerConnection;
    void clientLeft();

    std::shared_ptr<internal::ServerConnection> m_connection; ///< Null after the response or the close.
    Request m_request;
    TimePoint m_receivedAt;
    std::unique_ptr<BodyShare> m_share;
    std::function<void()> m_onClosed;
};

using ExchangePointer = std::shared_ptr<Exchange>;
using Handler = std::function<void(ExchangePointer)>;

/// An HTTP/1.1 server on one thread. The requests of a connection are processed in order, one at a time.
class Server {
public:
    /// Without a budget, only the limits of each request and the number of connections bound the memory.
    Server(asio::io_context& io, Handler handler, ServerLimits limits = {}, std::shared_ptr<BodyBudget> budget = nullptr);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    /// Binds the address and starts to accept connections. Returns an error message on failure.
    [[nodiscard]] tl::expected<void, std::string> listen(const InstanceAddress& address);
    /// The address it listens on, with the actual port if port 0 was requested.
    [[nodiscard]] InstanceAddress address() const;
    void setLimits(const ServerLimits& limits);
    /// Makes all further responses announce that the connection will be closed.
    void beginDrain();
    /// Closes connections without a request in progress.
    void closeIdle();
    /// Stops accepting connections and closes all of them.
    void close();
    [[nodiscard]] std::size_t connections() const noexcept;
    [[nodiscard]] std::size_t requestsInProgress() const noexcept;

    struct Shared;

private:
    void accept();
    void sweep();

    std::shared_ptr<Shared> m_shared;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_sweepTimer;
    asio::steady_timer m_acceptTimer;
};

}
