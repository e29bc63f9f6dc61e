#pragma once

#include "azurepaddle/core/address.hpp"
#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/http1/parser.hpp"

#include <asio.hpp>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace azurepaddle::http1 {

enum class CallEndKind : unsigned char {
    Complete, ///< The response was received completely.
    ConnectFailed,
    NoConnection, ///< The maximum number of connections to the address is in use.
    Lost, ///< The connection was closed before the response was complete.
    Failed, ///< The received bytes are not a valid response.
    TimedOut,
};

/// How a call ended.
struct CallEnd {
    CallEndKind kind = CallEndKind::Complete;
    bool isSent = false; ///< Bytes of the request may have reached the server.
    std::string message; ///< Readable description of an error; empty without one.

    friend bool operator==(const CallEnd&, const CallEnd&) = default;
};

/// Callbacks of one call. None is called after onEnd or after the call was cancelled.
struct CallEvents {
    std::function<bool(const Response&)> onHead; ///< Returns false if the response belongs to another request; it is then discarded and the next one awaited.
    std::function<void(std::string)> onBody; ///< A part of the body.
    std::function<void(CallEnd)> onEnd;
};

/// Limits of one call.
struct CallOptions {
    TimePoint deadline = TimePoint::max();
    Duration connectTimeout = std::chrono::milliseconds(500);
    std::size_t maxConnections = 64; ///< To the address, by all calls together.
    Duration maxIdle = std::chrono::seconds(10); ///< A connection that was idle for longer is not reused.
    std::uint64_t maxBodyBytes = std::numeric_limits<std::uint64_t>::max(); ///< Maximum size of the response body, if lower than that of the pool.

    friend bool operator==(const CallOptions&, const CallOptions&) = default;
};

namespace internal {
    class ClientConnection;
    struct ClientShared;
}

/// A request in progress.
class ClientCall {
public:
    virtual ~ClientCall() = default;
    /// Closes the connection, so that the server stops processing the request. No callback follows.
    virtual void cancel() = 0;
    /// Whether bytes of the request may have reached the server.
    [[nodiscard]] virtual bool isSent() const = 0;
};

using ClientCallPointer = std::shared_ptr<ClientCall>;

/// Sends HTTP/1.1 requests over persistent connections. Requests are not retried. Not thread-safe.
class ClientPool {
public:
    ClientPool(asio::io_context& io, const MessageLimits& limits);
    ~ClientPool();
    ClientPool(const ClientPool&) = delete;
    ClientPool& operator=(const ClientPool&) = delete;

    /// Sets the function called with each sign of a link: true when a connection is established or bytes arrive, false
    /// when a connection cannot be established or breaks, also an idle one. It must not use the pool.
    void setLinkObserver(std::function<void(bool isReachable)> observer);
    /// Sets the function called with each answer that is not valid HTTP or exceeds the limits, before
    /// its call ends. It must not use the pool.
    void setInvalidAnswerObserver(std::function<void(const InstanceAddress&, const std::string& cause)> observer);
    /// Sends a request. No callback is called before this returns.
    [[nodiscard]] ClientCallPointer send(const InstanceAddress& address, Request request, const CallOptions& options, CallEvents events);
    /// Sends a request with a body that is kept elsewhere and not copied. The body of the request itself is not used.
    [[nodiscard]] ClientCallPointer send(const InstanceAddress& address, const Request& head, std::shared_ptr<const std::string> body, const CallOptions& options, CallEvents events);
    /// Returns the number of connections to an address, including idle ones.
    [[nodiscard]] std::size_t connections(const InstanceAddress& address) const;

private:
    std::shared_ptr<internal::ClientShared> m_shared;
};

}
