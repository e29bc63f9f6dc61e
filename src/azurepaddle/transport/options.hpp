#pragma once

#include "azurepaddle/core/address.hpp"
#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/transport/error.hpp"
#include "azurepaddle/transport/traffic.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace azurepaddle::transport {

/// Time on the monotonic clock (SystemClock) after which a request is cancelled.
using Deadline = TimePoint;

/// Certificate, key and certificate authority of an instance in PEM text. Both sides of a connection must present a
/// certificate that the authority signed. The names in certificates are not checked: the authority is private to the
/// deployment, and instances are addressed by IP.
struct TlsIdentity {
    std::string certificatePem;
    std::string keyPem;
    std::string authorityPem;
};

/// Reads the three PEM files of an identity. Returns a Setup error if one cannot be read.
[[nodiscard]] tl::expected<TlsIdentity, TransportError> loadTlsIdentity(const std::string& certificateFile, const std::string& keyFile, const std::string& authorityFile);

/// Settings of a PeerServer. At least one of secret and TLS is required.
struct ServerOptions {
    InstanceAddress listen; ///< Port 0 lets the system choose one; see PeerServer::address.
    std::string secret; ///< Compared with the request's header in constant time; empty means that none is required.
    std::optional<TlsIdentity> tls;
    std::size_t maxMessageBytes = 16U * 1024U * 1024U; ///< Body of one request or response.
    std::size_t maxBufferedBytes = 64U * 1024U * 1024U; ///< Total size of the bodies in memory; beyond it requests are refused.
    std::uint32_t maxStreamsPerConnection = 128;
    std::size_t maxConnections = 1024;
    Duration handshakeTimeout = std::chrono::seconds(5); ///< From accept to the HTTP/2 settings of the client.
    Duration requestTimeout = std::chrono::seconds(30); ///< From the header to the end of the body of a request.
    Duration responseTimeout = std::chrono::seconds(30); ///< For a peer that does not read a response from its stream.
    Duration writeTimeout = std::chrono::seconds(10); ///< For a peer that does not read from its connection.
    Duration idleTimeout = std::chrono::seconds(30); ///< Time without a received byte; clients ping more often.
    Duration stopTimeout = std::chrono::seconds(5); ///< Time for requests in progress to complete when the server stops.
    std::shared_ptr<TrafficMeter> traffic = std::make_shared<TrafficMeter>();
};

/// Settings of a PeerClient. At least one of secret and TLS is required.
struct ClientOptions {
    std::string secret;
    std::optional<TlsIdentity> tls;
    std::size_t maxMessageBytes = 16U * 1024U * 1024U;
    std::size_t maxCallsPerPeer = 1024; ///< Waiting and in progress; further calls fail with NotSent.
    std::size_t maxBufferedBytes = 64U * 1024U * 1024U; ///< Request bodies of calls in progress; beyond it calls fail with NotSent.
    std::size_t maxPeers = 4096;
    Duration connectTimeout = std::chrono::seconds(1); ///< From connect to the HTTP/2 settings of the server.
    Duration pingInterval = std::chrono::seconds(1); ///< Time without received bytes after which a connection with calls in progress is pinged.
    Duration idlePingInterval = std::chrono::seconds(5); ///< The same for a connection without calls.
    Duration pingDeadline = std::chrono::seconds(1); ///< A connection is closed if a ping is not answered within this time.
    Duration idleTimeout = std::chrono::minutes(5); ///< A connection that had no calls for this long is closed.
    Duration minBackoff = std::chrono::milliseconds(50); ///< After the first failed connect; doubles up to the maximum.
    Duration maxBackoff = std::chrono::seconds(2);
    std::shared_ptr<TrafficMeter> traffic = std::make_shared<TrafficMeter>();
};

}
