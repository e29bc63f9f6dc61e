#pragma once

#include "azurepaddle/transport/options.hpp"

#include <functional>
#include <memory>
#include <string>

namespace azurepaddle::transport {

/// One request as its handler sees it.
struct PeerRequest {
    std::string method;
    std::string body;
    std::string remote; ///< Address and port of the peer's end of the connection.
    Deadline deadline; ///< The caller's deadline by the local clock; TimePoint::max() if it gave none.
};

/// The body of the response, or a message that reaches the caller as PeerErrorCode::Failed.
using PeerReply = tl::expected<std::string, std::string>;
using PeerHandler = std::function<PeerReply(const PeerRequest&)>;
/// Sends the response of one request, from any thread, while the server exists. Further calls do nothing. A request
/// whose responders are all dropped uncalled is answered as Failed.
using PeerResponder = std::function<void(PeerReply)>;
/// Runs on the server's I/O thread: it must not block.
using DeferredHandler = std::function<void(PeerRequest, PeerResponder)>;

/// Threads and queue of one method. Each method has its own threads, so that a method which blocks (a submit that waits
/// for the log) cannot stall the one it depends on (raft). One thread keeps the order of arrival.
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

    /// Registers the handler of a method. Only before start.
    void handle(const std::string& method, PeerHandler handler, HandlerOptions options = {});

    /// Registers a method whose handler answers later. Only before start.
    void handleDeferred(const std::string& method, DeferredHandler handler);

    /// Binds the address and starts the threads. Setup if the address is in use, the certificates do not load, or
    /// neither a secret nor TLS is set.
    [[nodiscard]] tl::expected<void, TransportError> start();

    /// Refuses new requests, waits for those in progress up to the stop timeout, and closes the connections.
    void stop();

    /// The address that the server listens on, with the port that the system chose.
    [[nodiscard]] InstanceAddress address() const;

    [[nodiscard]] TrafficSnapshot traffic() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
