#pragma once

#include "azurepaddle/batch/types.hpp"
#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/ident.hpp"
#include "azurepaddle/gateway/workspace.hpp"
#include "azurepaddle/http1/server.hpp"
#include "azurepaddle/scaling/types.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace azurepaddle::gateway {

/// Which requests of a route may be repeated.
enum class RouteKind : std::uint8_t {
    Idempotent,
    NonIdempotent,
    Streaming, ///< Event streams, which are repeated only if they are resumable.
    Batch, ///< Submissions of batch jobs.
};

/// A service and its share of a route's requests.
struct WeightedService {
    ServiceName service;
    double weight = 1;

    friend bool operator==(const WeightedService&, const WeightedService&) = default;
};

/// Settings for the requests of one host whose path begins with a prefix.
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix;
    RouteKind kind = RouteKind::NonIdempotent;
    std::vector<WeightedService> services;
    Duration timeout = std::chrono::seconds(10); ///< Maximum time from the receipt of a request to its answer.
    Duration targetLatency = std::chrono::milliseconds(400); ///< Time within which an answer has its full value.
    Duration due = std::chrono::seconds(10); ///< Time from the submission of a batch job to the deadline of all its results.
    Duration retention = std::chrono::seconds(60); ///< Time after which items of a batch job may be abandoned.
    std::uint32_t priority = 5; ///< 0 is the most urgent.
    std::uint32_t maxAttempts = 1; ///< Maximum number of endpoints that may run one request.
    bool isResumable = false;
    bool isSingleVersion = false;
    bool isPublic = false; ///< Requests need no key, although workspaces are configured.

    friend bool operator==(const Route&, const Route&) = default;
};

/// A set of interchangeable endpoints, as configured.
struct Service {
    ServiceName name;
    std::string healthPath;
    std::size_t maxConnections = 64; ///< To one endpoint, over all callers.
    std::vector<batch::ModelName> models; ///< The models with which its endpoints generate; empty for plain services.
    std::uint64_t kvCapacity = 0; ///< Tokens of running requests and cached prompts that an endpoint holds; 0 if unknown.
    std::optional<scaling::ScalingRules> scaling {}; ///< Empty if the number of its endpoints is not decided here.

    friend bool operator==(const Service&, const Service&) = default;
};

/// Reason why a configuration is rejected.
struct ConfigurationProblem {
    std::string message;

    friend bool operator==(const ConfigurationProblem&, const ConfigurationProblem&) = default;
};

/// One version of the configuration with indices for look-ups. Immutable.
class RouteTable {
public:
    RouteTable() = default;
    RouteTable(std::uint64_t version, std::vector<Route> routes, std::vector<Service> services, http1::ServerLimits limits, std::optional<WorkspaceTable> workspaces = std::nullopt);

    /// The route of the host whose prefix is the longest that matches the path. Null if there is none.
    [[nodiscard]] const Route* find(std::string_view host, std::string_view path) const;
    [[nodiscard]] const Service* findService(const ServiceName& name) const;
    [[nodiscard]] std::uint64_t version() const noexcept { return m_version; }
    [[nodiscard]] const std::vector<Route>& routes() const noexcept { return m_routes; }
    [[nodiscard]] const std::map<ServiceName, Service>& services() const noexcept { return m_services; }
    /// Null if the configuration has no workspaces, so that callers need no keys.
    [[nodiscard]] const WorkspaceTable* workspaces() const noexcept { return m_workspaces ? &*m_workspaces : nullptr; }
    [[nodiscard]] const http1::ServerLimits& limits() const noexcept { return m_limits; }

private:
    std::uint64_t m_version = 0;
    std::vector<Route> m_routes;
    std::map<ServiceName, Service> m_services;
    http1::ServerLimits m_limits;
    std::optional<WorkspaceTable> m_workspaces;
    std::map<std::string, std::vector<std::size_t>, std::less<>> m_routesByHost; ///< Routes by host, longest prefix first.
};

/// Checks that all services are defined, no two routes have the same host and prefix, no weight is negative and those
/// of a route have a sum above 0, timeouts are above 0, and workspaces are consistent. Returns the first problem.
[[nodiscard]] std::optional<ConfigurationProblem> validate(const RouteTable& table);

/// Whether a host has a public batch route, so that callers without a key may have submitted batch jobs to it.
[[nodiscard]] bool hasPublicBatchRoute(const RouteTable& table, std::string_view host);

/// The services of all routes except batch routes, that is those to which single requests are forwarded.
[[nodiscard]] std::set<ServiceName> forwardedServices(const RouteTable& table);

/// The route of a reward call. Null if there is none, or if it is a batch route.
[[nodiscard]] const Route* findRewardRoute(const RouteTable& table, const batch::RewardCall& reward);

/// The first item of the job whose reward call has no route, if there is one.
[[nodiscard]] std::optional<batch::ItemId> findUnroutableItem(const RouteTable& table, const batch::JobSpec& job);

/// The service for a request, chosen by the weights of its route. The point is uniformly distributed in [0, 1).
[[nodiscard]] const ServiceName& chooseService(const Route& route, double point);

/// The value of a Host header field without the port.
[[nodiscard]] std::string_view hostWithoutPort(std::string_view hostField) noexcept;

}
