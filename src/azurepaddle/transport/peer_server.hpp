#pragma once

#include "azurepaddle/transport/options.hpp"

#include <functional>
#include <memory>
#include <string>

namespace azurepaddle::transport {

/// A request as passed to its handler.
struct PeerRequest {
    std::string method;
    std::string body;
    std::string remote; ///< Address and port of the peer.
    Deadline deadline; ///< Deadline of the caller by the local clock; TimePoint::max() if it has none.
};

/// The body of the response, or an error message that is sent as PeerErrorCode::Failed.
using PeerReply = tl::expected<std::string, std::string>;
using PeerHandler = std::function<PeerReply(const PeerRequest&)>;
/// Sends the response of one request. May be called and destroyed from any thread; after the server was destroyed, this has
/// no effect. Only the first call has an effect. If all copies are destroyed without a call, the request fails with
/// PeerErrorCode::Failed.
using PeerResponder = std::function<void(PeerReply)>;
/// Runs on the server's I/O thread: it must not block.
using DeferredHandler = std::function<void(PeerRequest, PeerResponder)>;

/// Threads and queue of one method. Each method has its own threads, so that a method which blocks, such as a submission
/// that waits for the log, cannot block the method on which it depends, such as raft. A single thread preserves the
/// order of arrival.
struct HandlerOptions {
    std::size_t threads = 2;
    std::size_t maxQueued = 1024; ///< Further requests are refused as overloaded.
};

/// Listens on an address and runs the handlers of `POST /peer/<method>` requests.
class PeerServer {
public:
    explicit PeerServer(ServerOptions options);
    PeerServer(const PeerServer&) = delete;
    PeerServer& operator=(const PeerServer&) = delete;
    /// Stops the server.
    ~PeerServer();

    /// Registers the handler of a method. Must be called before start.
    void handle(const std::string& method, PeerHandler handler, HandlerOptions options = {});

    /// Registers a method whose handler responds asynchronously. Must be called before start.
    void handleDeferred(const std::string& method, DeferredHandler handler);

    /// Binds the address and starts the threads. Returns a Setup error if the address is in use, the certificates cannot
    /// be loaded, or neither a secret nor TLS is configured.
    [[nodiscard]] tl::expected<void, TransportError> start();

    /// Refuses new requests, waits for those in progress up to the stop timeout, and closes the connections.
    void stop();

    /// The address on which the server listens, with the actual port if port 0 was requested.
    [[nodiscard]] InstanceAddress address() const;

    [[nodiscard]] TrafficSnapshot traffic() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
