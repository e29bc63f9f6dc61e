#pragma once

#include "azurepaddle/transport/options.hpp"

#include <functional>
#include <memory>
#include <string>

namespace azurepaddle::transport {

using CallResult = tl::expected<std::string, TransportError>;
/// Runs on the client's I/O thread (or the caller's, if the request is refused locally): it must not block and must not
/// use the blocking call.
using Completion = std::function<void(CallResult)>;

/// Sends requests to peers over one persistent connection for each peer. Thread-safe. A call completes exactly once, with
/// the response or with an error that states whether the peer may have run the request. Calls are not retried.
class PeerClient {
public:
    explicit PeerClient(ClientOptions options);
    PeerClient(const PeerClient&) = delete;
    PeerClient& operator=(const PeerClient&) = delete;
    /// Stops the client.
    ~PeerClient();

    /// Loads the certificates and starts the I/O thread. Returns a Setup error if that fails, or if neither a secret nor
    /// TLS is configured.
    [[nodiscard]] tl::expected<void, TransportError> start();

    /// Completes all calls (NotSent or Unknown) and closes the connections.
    void stop();

    /// Sends a request and waits for its response, at most until the deadline.
    [[nodiscard]] CallResult call(const InstanceAddress& peer, const std::string& method, std::string body, Deadline deadline);

    /// Sends a request and passes its result to the completion.
    void send(const InstanceAddress& peer, const std::string& method, std::string body, Deadline deadline, Completion completion);

    /// Sends a request and ignores its result.
    void send(const InstanceAddress& peer, const std::string& method, std::string body, Deadline deadline);

    [[nodiscard]] TrafficSnapshot traffic() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

}
