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
    Complete, ///< The whole response arrived.
    ConnectFailed,
    NoConnection, ///< All connections that the address allows are in use.
    Lost, ///< The connection ended before the whole response.
    Failed, ///< Its bytes were no response.
    TimedOut,
};

/// How a call ended.
struct CallEnd {
    CallEndKind kind = CallEndKind::Complete;
    bool isSent = false; ///< Bytes of the request may have reached the server.
    std::string message; ///< For people.

    friend bool operator==(const CallEnd&, const CallEnd&) = default;
};

/// What the sender of a request hears. None is called after onEnd or after the call was cancelled.
struct CallEvents {
    std::function<bool(const Response&)> onHead; ///< False: this response belongs to another request; wait for the next.
    std::function<void(std::string)> onBody; ///< A part of the body.
    std::function<void(CallEnd)> onEnd;
};

/// Bounds of one call.
struct CallOptions {
    TimePoint deadline = TimePoint::max();
    Duration connectTimeout = std::chrono::milliseconds(500);
    std::size_t maxConnections = 64; ///< To the address, over all calls.
    Duration maxIdle = std::chrono::seconds(10); ///< A connection that was idle for longer is not used again.
    std::uint64_t maxBodyBytes = std::numeric_limits<std::uint64_t>::max(); ///< Of the answer, if less than the pool allows.

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
    /// Closes the connection, so that the server stops its work. No event follows.
    virtual void cancel() = 0;
};

using ClientCallPointer = std::shared_ptr<ClientCall>;

/// Sends HTTP/1.1 requests over kept connections. Nothing is retried. Used on one thread.
class ClientPool {
public:
    ClientPool(asio::io_context& io, const MessageLimits& limits);
    ~ClientPool();
    ClientPool(const ClientPool&) = delete;
    ClientPool& operator=(const ClientPool&) = delete;

    /// Sends a request. No event comes before this returns.
    [[nodiscard]] ClientCallPointer send(const InstanceAddress& address, const Request& request, const CallOptions& options, CallEvents events);
    /// Connections to an address, idle ones included.
    [[nodiscard]] std::size_t connections(const InstanceAddress& address) const;

private:
    std::shared_ptr<internal::ClientShared> m_shared;
};

}
