#pragma once

#include "azurepaddle/batch/types.hpp"
#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/ident.hpp"
#include "azurepaddle/http1/server.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace azurepaddle::gateway {

/// What may be repeated on a route.
enum class RouteKind : std::uint8_t {
    Idempotent,
    NonIdempotent,
    Streaming, ///< Event streams; repeated only where they may be resumed.
    Batch, ///< Batch jobs are submitted here.
};

/// A service and its part of a route's requests.
struct WeightedService {
    ServiceName service;
    double weight = 1;

    friend bool operator==(const WeightedService&, const WeightedService&) = default;
};

/// Requests of one host whose path begins with a prefix.
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix;
    RouteKind kind = RouteKind::NonIdempotent;
    std::vector<WeightedService> services;
    Duration timeout = std::chrono::seconds(10); ///< Longest time that a request may wait for its answer.
    Duration targetLatency = std::chrono::milliseconds(400); ///< Time within which an answer is worth most.
    Duration due = std::chrono::seconds(10); ///< For all results of a batch job, after its submission.
    Duration retention = std::chrono::seconds(60); ///< After it, items of a batch job may be given up.
    std::uint32_t priority = 5; ///< 0 is the most urgent.
    std::uint32_t maxAttempts = 1; ///< Endpoints that one request may run on.
    bool isResumable = false;
    bool isSingleVersion = false;

    friend bool operator==(const Route&, const Route&) = default;
};

/// A set of interchangeable endpoints, as configured.
struct Service {
    ServiceName name;
    std::string healthPath;
    std::size_t maxConnections = 64; ///< Of one endpoint, over all callers.
    std::vector<batch::ModelName> models; ///< Those that its endpoints generate with; empty for plain services.

    friend bool operator==(const Service&, const Service&) = default;
};

/// Why a configuration is refused.
struct ConfigurationProblem {
    std::string message;

    friend bool operator==(const ConfigurationProblem&, const ConfigurationProblem&) = default;
};

/// One version of the configuration, ready for look-ups. Immutable.
class RouteTable {
public:
    RouteTable() = default;
    RouteTable(std::uint64_t version, std::vector<Route> routes, std::vector<Service> services, http1::ServerLimits limits);

    /// The route of the host with the longest prefix of the path. Null if there is none.
    [[nodiscard]] const Route* find(std::string_view host, std::string_view path) const;
    [[nodiscard]] const Service* findService(const ServiceName& name) const;
    [[nodiscard]] std::uint64_t version() const noexcept { return m_version; }
    [[nodiscard]] const std::vector<Route>& routes() const noexcept { return m_routes; }
    [[nodiscard]] const std::map<ServiceName, Service>& services() const noexcept { return m_services; }
    [[nodiscard]] const http1::ServerLimits& limits() const noexcept { return m_limits; }

private:
    std::uint64_t m_version = 0;
    std::vector<Route> m_routes;
    std::map<ServiceName, Service> m_services;
    http1::ServerLimits m_limits;
    std::map<std::string, std::vector<std::size_t>, std::less<>> m_byHost; ///< Routes by host, longest prefix first.
};

/// Whether the routes make sense together: known services, distinct places, weights above 0, timeouts above 0.
[[nodiscard]] std::optional<ConfigurationProblem> validate(const RouteTable& table);

/// The services that get requests of single callers.
[[nodiscard]] std::set<ServiceName> forwardedServices(const RouteTable& table);

/// The route of a reward call. Null if there is none that answers single requests.
[[nodiscard]] const Route* findRewardRoute(const RouteTable& table, const batch::RewardCall& reward);

/// An item of the job whose reward call has no route, if there is one.
[[nodiscard]] std::optional<batch::ItemId> findUnroutableItem(const RouteTable& table, const batch::JobSpec& job);

/// The service for a request, by the weights of its route. The point is in [0, 1).
[[nodiscard]] const ServiceName& chooseService(const Route& route, double point);

/// The host of a Host field, without its port.
[[nodiscard]] std::string_view hostWithoutPort(std::string_view field) noexcept;

}
