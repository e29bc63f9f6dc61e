#pragma once

#include "azurepaddle/config/node_settings.hpp"
#include "azurepaddle/transport/peer_client.hpp"
#include "azurepaddle/transport/peer_server.hpp"

namespace azurepaddle::node {

/// Options of connections between nodes. A silent connection is replaced within a second, so that the loss of a node or
/// link is detected before the bounds of the deployment are exceeded.
[[nodiscard]] inline transport::ClientOptions peerClientOptions(const config::NodeSettings& settings)
{
    transport::ClientOptions options;
    options.secret = settings.peer.secret;
    options.connectTimeout = std::chrono::milliseconds(500);
    options.pingInterval = std::chrono::milliseconds(400);
    options.pingDeadline = std::chrono::milliseconds(500);
    options.maxBackoff = std::chrono::milliseconds(400);
    return options;
}

/// Options of the connections of an entry, whose memory is small. A batch job of 32 MiB is sent in 24 MiB and fits at
/// 120 MB of memory.
[[nodiscard]] inline transport::ClientOptions entryClientOptions(const config::NodeSettings& settings)
{
    constexpr std::uint64_t memoryShare = 4;
    transport::ClientOptions options = peerClientOptions(settings);
    options.maxBufferedBytes = std::min<std::size_t>(options.maxBufferedBytes, settings.bounds.memory / memoryShare);
    return options;
}

[[nodiscard]] inline transport::ServerOptions peerServerOptions(const config::NodeSettings& settings)
{
    transport::ServerOptions options;
    options.listen = settings.peerListenAddress();
    options.secret = settings.peer.secret;
    options.stopTimeout = std::chrono::milliseconds(300);
    return options;
}

/// Memory of an entry for bodies that it receives from other nodes, in bytes.
[[nodiscard]] inline std::size_t maxReceivedBytes(const config::NodeSettings& settings)
{
    constexpr std::uint64_t memoryShare = 8;
    return settings.bounds.memory / memoryShare;
}

/// Options of the server on which an entry accepts requests of others, whose memory is small.
[[nodiscard]] inline transport::ServerOptions entryServerOptions(const config::NodeSettings& settings)
{
    transport::ServerOptions options = peerServerOptions(settings);
    options.maxBufferedBytes = std::min<std::size_t>(options.maxBufferedBytes, maxReceivedBytes(settings));
    return options;
}

}
