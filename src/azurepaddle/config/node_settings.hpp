#pragma once

#include "azurepaddle/config/problem.hpp"
#include "azurepaddle/core/address.hpp"
#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/log.hpp"

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace azurepaddle::config {

/// Identity, role and data folder of a node: `[node]`.
struct NodeIdentitySettings {
    std::string name;
    std::string dataCentre;
    std::string role = "entry";
    std::string dataFolder;
    std::string logLevel = "info";

    friend bool operator==(const NodeIdentitySettings&, const NodeIdentitySettings&) = default;
};

/// Addresses on which a node listens, as `ip:port`: `[listen]`.
struct NodeListenSettings {
    std::string callers;
    std::string ready;
    std::string control;
    std::string metrics;

    friend bool operator==(const NodeListenSettings&, const NodeListenSettings&) = default;
};

/// Connections between nodes: `[peer]`.
struct NodePeerSettings {
    std::string address;
    std::uint64_t port = 7400;
    std::uint64_t listenPort = 0; ///< 0 for the same as `port`.
    std::vector<std::string> seeds;
    std::string secret;
    bool isFirstStart = false;

    friend bool operator==(const NodePeerSettings&, const NodePeerSettings&) = default;
};

/// Guaranteed times and tolerated losses: `[bounds]`.
struct NodeBoundSettings {
    std::uint64_t toleratedLosses = 1;
    Duration orderLease = std::chrono::seconds(3);
    Duration resultLifetime = std::chrono::seconds(120);
    Duration stopTimeout = std::chrono::seconds(8);
    Duration configurationDelay = std::chrono::seconds(2);
    std::uint64_t maxConnections = 3000;
    std::uint64_t maxJobBytes = 96U * 1024U * 1024U;
    std::uint64_t memory = 1024U * 1024U * 1024U;
    std::uint64_t endpointBodies = 256U * 1024U * 1024U;

    friend bool operator==(const NodeBoundSettings&, const NodeBoundSettings&) = default;
};

/// Duties that one node at a time performs at the platform: `[duties]`.
struct NodeDutySettings {
    std::string address;
    std::vector<std::string> kinds;
    double callsPerSecond = 10;
    Duration usageWindow = std::chrono::seconds(5);
    Duration usageDelay = std::chrono::seconds(10);

    /// Whether a kind of duty is to be performed.
    [[nodiscard]] bool includes(std::string_view kind) const;

    friend bool operator==(const NodeDutySettings&, const NodeDutySettings&) = default;
};

/// The settings of an azurepaddle-node.
struct NodeSettings {
    NodeIdentitySettings node;
    NodeListenSettings listen;
    NodePeerSettings peer;
    NodeBoundSettings bounds;
    NodeDutySettings duties;

    [[nodiscard]] bool isStore() const noexcept { return node.role == "store"; }
    [[nodiscard]] LogLevel logLevel() const noexcept;
    [[nodiscard]] InstanceAddress peerAddress() const { return { peer.address, static_cast<std::uint16_t>(peer.port) }; }
    /// The address on which this node accepts connections of other nodes.
    [[nodiscard]] InstanceAddress peerListenAddress() const { return { peer.address, static_cast<std::uint16_t>(peer.listenPort == 0 ? peer.port : peer.listenPort) }; }
    /// Peer addresses of the seeds. All nodes of a deployment use the same peer port, so a seed's own port is not used.
    [[nodiscard]] std::vector<InstanceAddress> seedPeers() const;

    friend bool operator==(const NodeSettings&, const NodeSettings&) = default;
};

/// Reads settings from INI text. The error lists every problem found; the file name appears in problems only.
[[nodiscard]] tl::expected<NodeSettings, Problems> parseNodeSettings(std::string_view text, std::string_view file);
[[nodiscard]] tl::expected<NodeSettings, Problems> loadNodeSettings(const std::string& path);
/// The documentation of all keys in Markdown.
[[nodiscard]] std::string nodeSettingsDocumentation();

}
