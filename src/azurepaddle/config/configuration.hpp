#pragma once

#include "azurepaddle/config/problem.hpp"
#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/ident.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace azurepaddle::config {

/// Values for the whole deployment, and defaults of services and tenants: `[defaults]`.
struct DefaultsConfiguration {
    Duration deadlineShort = std::chrono::seconds(30);
    Duration deadlineLong = std::chrono::minutes(10);
    std::uint64_t shortTokens = 512;
    Duration claimRetention = std::chrono::hours(24);
    double retryBudget = 0.1;
    double exclusionFraction = 0.3;
    double longShare = 0.5;

    friend bool operator==(const DefaultsConfiguration&, const DefaultsConfiguration&) = default;
};

/// A customer: `[tenant NAME]`.
struct TenantConfiguration {
    std::vector<std::string> tokenSha256; ///< Digests of the tenant's bearer tokens; several while one is replaced.
    double weight = 1;
    std::uint64_t maxQueuedRequests = 512;
    std::uint64_t maxQueuedBytes = 16U * 1024U * 1024U;
    Duration maxQueueTime = std::chrono::seconds(30);
    double retryBudget = 0.1; ///< Retries for each first attempt.

    friend bool operator==(const TenantConfiguration&, const TenantConfiguration&) = default;
};

/// A set of interchangeable endpoints: `[service NAME]`.
struct ServiceConfiguration {
    std::string kind = "engine"; ///< "engine" or "plain".
    bool idempotent = true; ///< Whether requests that do not state it may be repeated.
    Duration deadlineShort = std::chrono::seconds(30);
    Duration deadlineLong = std::chrono::minutes(10);
    bool checksFencing = false;
    double exclusionFraction = 0.3;
    double longShare = 0.5;
    bool hedging = true;
    double hedgeBudget = 0.05; ///< Maximum number of hedged copies for each request.
    std::uint64_t weightBytes = 16ULL << 30U; ///< Size of one version in the weight store.
    std::uint64_t storeBytesPerSecond = 10ULL << 30U; ///< Read rate limit for the prefetches of this service.
    std::string versionSource; ///< The run whose trainer announces the weight versions; empty for none.

    [[nodiscard]] bool isEngine() const noexcept { return kind == "engine"; }

    friend bool operator==(const ServiceConfiguration&, const ServiceConfiguration&) = default;
};

/// A training run: `[run NAME]`.
struct RunConfiguration {
    std::string tenant;
    std::string service;
    double weight = 1;
    std::uint64_t maxGroupSize = 64;
    std::uint64_t maxGroups = 4096;
    std::uint64_t maxSampleTokens = 32768;
    std::uint64_t stalenessVersions = 1;
    Duration stalenessTime {}; ///< Zero for no bound in time.
    std::string scoringService; ///< Empty if samples are not scored.
    std::uint64_t samplesPerHandoff = 256;

    friend bool operator==(const RunConfiguration&, const RunConfiguration&) = default;
};

/// The decisions of the operators for the whole deployment, applied as a whole under one number.
class Configuration {
public:
    struct Sections {
        std::uint64_t number = 0;
        DefaultsConfiguration defaults;
        std::map<TenantName, TenantConfiguration> tenants;
        std::map<ServiceName, ServiceConfiguration> services;
        std::map<RunName, RunConfiguration> runs;

        friend bool operator==(const Sections&, const Sections&) = default;
    };

    Configuration() = default;
    /// The sections must be valid, as checked by parseConfiguration.
    explicit Configuration(Sections sections);

    [[nodiscard]] std::uint64_t number() const noexcept { return m_sections.number; }
    [[nodiscard]] const DefaultsConfiguration& defaults() const noexcept { return m_sections.defaults; }
    [[nodiscard]] const std::map<TenantName, TenantConfiguration>& tenants() const noexcept { return m_sections.tenants; }
    [[nodiscard]] const std::map<ServiceName, ServiceConfiguration>& services() const noexcept { return m_sections.services; }
    [[nodiscard]] const std::map<RunName, RunConfiguration>& runs() const noexcept { return m_sections.runs; }

    /// These return null if the name is not configured.
    [[nodiscard]] const TenantConfiguration* tenant(const TenantName& name) const;
    [[nodiscard]] const ServiceConfiguration* service(const ServiceName& name) const;
    [[nodiscard]] const RunConfiguration* run(const RunName& name) const;

    /// The tenant whose bearer token has this digest, or null.
    [[nodiscard]] const TenantName* tenantByTokenDigest(const std::string& digest) const;

    /// INI text with every key in a fixed order. parseConfiguration turns it into an equal configuration.
    [[nodiscard]] std::string canonicalText() const;

    /// SHA-256 of the canonical text: equal for files that differ only in comments, order or spelling of values.
    [[nodiscard]] std::string digest() const;

    friend bool operator==(const Configuration& left, const Configuration& right) { return left.m_sections == right.m_sections; }

private:
    Sections m_sections;
    std::map<std::string, TenantName> m_tenantsByToken;
};

/// Reads a configuration from INI text. The error lists every problem found. The file name appears in problems only.
[[nodiscard]] tl::expected<Configuration, Problems> parseConfiguration(std::string_view text, std::string_view file);

/// One line for each difference: `+ [tenant blue]`, `- [run gold]` or `[service x] weight: 1 -> 2`. Empty if equal.
[[nodiscard]] std::vector<std::string> diff(const Configuration& before, const Configuration& after);

}
