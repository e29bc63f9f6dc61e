#include "azurepaddle/gateway/route_table.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace azurepaddle::gateway {

RouteTable::RouteTable(std::uint64_t version, std::vector<Route> routes, std::vector<Service> services, http1::ServerLimits limits, std::optional<WorkspaceTable> workspaces)
    : m_version(version)
    , m_routes(std::move(routes))
    , m_limits(limits)
    , m_workspaces(std::move(workspaces))
{
    for (Service& service : services) {
        ServiceName name = service.name;
        m_services.emplace(std::move(name), std::move(service));
    }
    for (std::size_t index = 0; index < m_routes.size(); ++index)
        m_routesByHost[m_routes[index].host].push_back(index);
    for (auto& [host, indices] : m_routesByHost) {
        std::stable_sort(indices.begin(), indices.end(), [this](std::size_t a, std::size_t b) { return m_routes[a].pathPrefix.size() > m_routes[b].pathPrefix.size(); });
    }
}

const Route* RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto found = m_routesByHost.find(host);
    if (found == m_routesByHost.end())
        return nullptr;
    for (const std::size_t index : found->second) {
        if (path.starts_with(m_routes[index].pathPrefix))
            return &m_routes[index];
    }
    return nullptr;
}

const Service* RouteTable::findService(const ServiceName& name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

namespace {

    std::optional<ConfigurationProblem> validateRoute(const Route& route, const RouteTable& table)
    {
        if (route.services.empty())
            return ConfigurationProblem { fmt::format("route {} names no service", route.name) };
        double totalWeight = 0;
        for (const WeightedService& weighted : route.services) {
            if (!table.findService(weighted.service))
                return ConfigurationProblem { fmt::format("route {} names the unknown service {}", route.name, weighted.service) };
            if (weighted.weight < 0)
                return ConfigurationProblem { fmt::format("route {} has a weight below 0", route.name) };
            totalWeight += weighted.weight;
        }
        if (totalWeight <= 0)
            return ConfigurationProblem { fmt::format("the weights of route {} add up to 0", route.name) };
        if (route.timeout <= Duration::zero())
            return ConfigurationProblem { fmt::format("route {} has no timeout", route.name) };
        if (route.host.empty() || !route.pathPrefix.starts_with('/'))
            return ConfigurationProblem { fmt::format("route {} has no host or path prefix", route.name) };
        return std::nullopt;
    }

}

std::optional<ConfigurationProblem> validate(const RouteTable& table)
{
    std::set<std::pair<std::string_view, std::string_view>> hostPrefixes;
    for (const Route& route : table.routes()) {
        if (auto problem = validateRoute(route, table))
            return problem;
        if (!hostPrefixes.emplace(route.host, route.pathPrefix).second)
            return ConfigurationProblem { fmt::format("route {} has the host and prefix of another one", route.name) };
    }
    if (const WorkspaceTable* workspaces = table.workspaces()) {
        if (auto problem = findProblem(*workspaces))
            return ConfigurationProblem { std::move(*problem) };
    }
    return std::nullopt;
}

bool hasPublicBatchRoute(const RouteTable& table, std::string_view host)
{
    return std::any_of(table.routes().begin(), table.routes().end(), [host](const Route& route) {
        return route.kind == RouteKind::Batch && route.isPublic && route.host == host;
    });
}

std::set<ServiceName> forwardedServices(const RouteTable& table)
{
    std::set<ServiceName> services;
    for (const Route& route : table.routes()) {
        if (route.kind == RouteKind::Batch)
            continue;
        for (const WeightedService& weighted : route.services)
            services.insert(weighted.service);
    }
    return services;
}

const Route* findRewardRoute(const RouteTable& table, const batch::RewardCall& reward)
{
    const Route* route = table.find(hostWithoutPort(reward.host), http1::pathOf(reward.path));
    return route && route->kind != RouteKind::Batch ? route : nullptr;
}

std::optional<batch::ItemId> findUnroutableItem(const RouteTable& table, const batch::JobSpec& job)
{
    const auto found = std::find_if(job.items.begin(), job.items.end(), [&table](const batch::ItemSpec& item) { return item.needsScore() && !findRewardRoute(table, item.reward); });
    return found == job.items.end() ? std::nullopt : std::optional(found->id);
}

const ServiceName& chooseService(const Route& route, double point)
{
    double total = 0;
    for (const WeightedService& weighted : route.services)
        total += weighted.weight;
    double remaining = point * total;
    for (const WeightedService& weighted : route.services) {
        if (weighted.weight > 0 && remaining < weighted.weight)
            return weighted.service;
        remaining -= weighted.weight;
    }
    const auto last = std::find_if(route.services.rbegin(), route.services.rend(), [](const WeightedService& weighted) { return weighted.weight > 0; });
    return last == route.services.rend() ? route.services.front().service : last->service;
}

std::string_view hostWithoutPort(std::string_view hostField) noexcept
{
    return hostField.substr(0, hostField.rfind(':'));
}

}
