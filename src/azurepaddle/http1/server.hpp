#pragma once

#include "azurepaddle/core/address.hpp"
#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/log.hpp"
#include "azurepaddle/http1/parser.hpp"

#include <asio.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <unordered_set>

namespace azurepaddle::http1 {

/// What clients may send and how long they may take. Can be changed while the server runs.
struct ServerLimits {
    MessageLimits message;
    Duration headerTimeout = std::chrono::seconds(3); ///< From the first byte of a request to the end of its header.
    Duration idleTimeout = std::chrono::seconds(15); ///< Without a request in progress, or within a body.
    std::size_t maxConnections = 3000;

    friend bool operator==(const ServerLimits&, const ServerLimits&) = default;
};

namespace internal {
    class ServerConnection;
}

/// One request and the means to answer it. Answered at most once; an exchange that is dropped without an answer closes
/// its connection. Used on the server's thread only.
class Exchange {
public:
    Exchange(std::shared_ptr<internal::ServerConnection> connection, Request request, TimePoint receivedAt);
    ~Exchange();
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

    [[nodiscard]] const Request& request() const noexcept { return m_request; }
    [[nodiscard]] TimePoint receivedAt() const noexcept { return m_receivedAt; }

    /// Sends a whole response.
    void respond(Response response);
    /// Sends the head of a response whose body follows in chunks.
    void beginStream(Response head);
    void sendChunk(std::string_view bytes);
    /// Marks the streamed body as complete.
    void endStream();
    /// Closes the connection without completing the answer.
    void abort();

    /// Sets what happens when the client leaves before the answer is complete.
    void setOnClosed(std::function<void()> onClosed);
    [[nodiscard]] bool isOpen() const noexcept;

private:
    friend class internal::ServerConnection;
    void clientLeft();

    std::shared_ptr<internal::ServerConnection> m_connection; ///< Null once answered or closed.
    Request m_request;
    TimePoint m_receivedAt;
    std::function<void()> m_onClosed;
};

using ExchangePointer = std::shared_ptr<Exchange>;
using Handler = std::function<void(ExchangePointer)>;

/// An HTTP/1.1 server on one thread. Requests of one connection are answered in order, one at a time.
class Server {
public:
    Server(asio::io_context& io, Handler handler, ServerLimits limits = {});
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    /// Binds the address. An error message if that fails.
    [[nodiscard]] tl::expected<void, std::string> listen(const InstanceAddress& address);
    /// The address it listens on, with the port that the system chose.
    [[nodiscard]] InstanceAddress address() const;
    void setLimits(const ServerLimits& limits);
    /// Answers from now on say that their connection closes.
    void beginDrain();
    /// Closes connections without a request in progress.
    void closeIdle();
    /// Stops to accept connections and closes all of them.
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
