#pragma once

#include "azurepaddle/config/problem.hpp"
#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/ident.hpp"
#include "azurepaddle/core/log.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace azurepaddle::config {

/// Identity, roles and data folder of this process: `[instance]`.
struct InstanceSettings {
    std::string name;
    std::string dataCentre;
    std::vector<std::string> roles { "entry" };
    std::string dataFolder;
    std::string logLevel = "info";
    Duration drainTimeout = std::chrono::minutes(10);

    friend bool operator==(const InstanceSettings&, const InstanceSettings&) = default;
};

/// The HTTP interface for callers, trainers, endpoints and operators: `[http]`.
struct HttpSettings {
    std::string address = "127.0.0.1";
    std::uint64_t port = 8080;
    std::uint64_t threads = 512;
    std::uint64_t upstreamThreads = 512;
    std::uint64_t maxConnections = 1024;
    std::uint64_t connectionQueue = 512;
    std::uint64_t maxBodyBytes = 8U * 1024U * 1024U;
    std::uint64_t maxBodiesBytes = 512U * 1024U * 1024U;
    std::uint64_t maxHeaderBytes = 32U * 1024U;
    std::uint64_t streamQueue = 256;
    Duration readTimeout = std::chrono::seconds(15);
    Duration writeTimeout = std::chrono::seconds(15);
    Duration keepAliveTimeout = std::chrono::seconds(5);
    std::uint64_t keepAliveRequests = 1000;
    Duration connectTimeout = std::chrono::seconds(1);
    Duration silenceTimeout = std::chrono::seconds(2);
    std::string tlsCertificate;
    std::string tlsKey;

    friend bool operator==(const HttpSettings&, const HttpSettings&) = default;
};

/// Connections between instances: `[peer]`.
struct PeerSettings {
    std::string address = "127.0.0.1";
    std::uint64_t port = 7400;
    std::vector<std::string> seeds;
    std::vector<std::string> voters;
    std::string secret;
    std::string secretFile;
    std::string tlsCertificate;
    std::string tlsKey;
    std::string tlsAuthority;
    std::uint64_t threads = 2;
    std::uint64_t maxMessageBytes = 16U * 1024U * 1024U;
    std::uint64_t maxQueuedMessages = 1024;

    friend bool operator==(const PeerSettings&, const PeerSettings&) = default;
};

/// Bearer secrets of endpoints and operators: `[secrets]`.
struct SecretSettings {
    std::string endpoint;
    std::string endpointFile;
    std::string operators;
    std::string operatorsFile;

    friend bool operator==(const SecretSettings&, const SecretSettings&) = default;
};

/// Time limits of the protocols between instances, and with endpoints: `[timing]`.
struct TimingSettings {
    Duration raftHeartbeat = std::chrono::milliseconds(100);
    Duration raftElection = std::chrono::milliseconds(500);
    Duration gossipInterval = std::chrono::milliseconds(250);
    Duration peerPing = std::chrono::milliseconds(500);
    Duration endpointLease = std::chrono::seconds(3);
    Duration runLease = std::chrono::seconds(5);
    Duration orderLease = std::chrono::seconds(5);
    Duration orderDeadline = std::chrono::seconds(2);
    Duration configurationConfirm = std::chrono::seconds(20);

    friend bool operator==(const TimingSettings&, const TimingSettings&) = default;
};

/// Shard counts, and limits of the memory of one process: `[limits]`.
struct LimitSettings {
    std::uint64_t tenantShards = 16;
    std::uint64_t endpointShards = 16;
    std::uint64_t runShards = 8;
    std::uint64_t maxEndpoints = 4096;
    std::uint64_t maxCandidates = 64;
    std::uint64_t maxQueuedRequests = 4096;
    std::uint64_t maxQueuedBytes = 64U * 1024U * 1024U;
    std::uint64_t maxSampleBytes = 64U * 1024U * 1024U;
    std::uint64_t maxResponseBytes = 16U * 1024U * 1024U;
    std::uint64_t maxSuspects = 1024;

    friend bool operator==(const LimitSettings&, const LimitSettings&) = default;
};

/// Name and address of an instance that is contacted at start.
struct SeedAddress {
    std::string name;
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(const SeedAddress&, const SeedAddress&) = default;
};

/// The settings of a daemon, validated as a whole. They do not change while the process runs.
class Settings {
public:
    struct Sections {
        InstanceSettings instance;
        HttpSettings http;
        PeerSettings peer;
        SecretSettings secrets;
        TimingSettings timing;
        LimitSettings limits;

        friend bool operator==(const Sections&, const Sections&) = default;
    };

    Settings() = default;
    /// The sections must be valid, as checked by parseSettings.
    explicit Settings(Sections sections) noexcept
        : m_sections(std::move(sections))
    {
    }

    [[nodiscard]] const InstanceSettings& instance() const noexcept { return m_sections.instance; }
    [[nodiscard]] const HttpSettings& http() const noexcept { return m_sections.http; }
    [[nodiscard]] const PeerSettings& peer() const noexcept { return m_sections.peer; }
    [[nodiscard]] const SecretSettings& secrets() const noexcept { return m_sections.secrets; }
    [[nodiscard]] const TimingSettings& timing() const noexcept { return m_sections.timing; }
    [[nodiscard]] const LimitSettings& limits() const noexcept { return m_sections.limits; }

    [[nodiscard]] bool hasRole(std::string_view role) const;
    [[nodiscard]] bool isVoter() const;
    [[nodiscard]] LogLevel logLevel() const noexcept;
    /// The seeds in file order; they may include this instance.
    [[nodiscard]] std::vector<SeedAddress> seeds() const;

    friend bool operator==(const Settings&, const Settings&) = default;

private:
    Sections m_sections;
};

/// Reads settings from INI text. The error lists every problem found. The file name appears in problems only; secret
/// files are not read.
[[nodiscard]] tl::expected<Settings, Problems> parseSettings(std::string_view text, std::string_view file);

/// Reads settings from a file, and from the secret files that it names relative to its folder.
[[nodiscard]] tl::expected<Settings, Problems> loadSettings(const std::string& path);

}
