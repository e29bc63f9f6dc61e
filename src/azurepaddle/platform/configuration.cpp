#include "azurepaddle/platform/configuration.hpp"

#include "azurepaddle/platform/json.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <limits>

namespace azurepaddle::platform {

namespace {

    using internal::countOf;
    using internal::flagOf;
    using internal::Json;
    using internal::listOf;
    using internal::numberOf;
    using internal::textOf;

    template <typename T>
    using Result = tl::expected<T, std::string>;

    std::optional<gateway::RouteKind> decodeKind(std::string_view text)
    {
        if (text == "idempotent")
            return gateway::RouteKind::Idempotent;
        if (text == "non_idempotent")
            return gateway::RouteKind::NonIdempotent;
        if (text == "streaming")
            return gateway::RouteKind::Streaming;
        if (text == "rollout")
            return gateway::RouteKind::Batch;
        return std::nullopt;
    }

    /// Times beyond a year are read as a year, so that they can be added to points in time.
    Duration fromMs(double ms)
    {
        constexpr double maxMs = 365.0 * 24 * 3600 * 1000;
        ms = std::clamp(ms, -maxMs, maxMs);
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
    }

    Result<std::vector<gateway::WeightedService>> decodeServices(const Json& route)
    {
        std::vector<gateway::WeightedService> services;
        if (const auto service = textOf(route, "service"))
            services.push_back({ ServiceName(*service), 1 });
        if (const Json* split = listOf(route, "split")) {
            for (const Json& part : *split) {
                const auto service = textOf(part, "service");
                const auto weight = numberOf(part, "weight");
                if (!service || !weight)
                    return tl::unexpected(std::string("a part of a split lacks service or weight"));
                services.push_back({ ServiceName(*service), *weight });
            }
        }
        return services;
    }

    Result<gateway::Route> decodeRoute(const Json& json)
    {
        gateway::Route route;
        const auto host = textOf(json, "host");
        const auto prefix = textOf(json, "path-prefix");
        const auto kind = decodeKind(textOf(json, "route-type").value_or(std::string()));
        const auto timeout = numberOf(json, "timeout-ms");
        if (!host || !prefix || !kind || !timeout)
            return tl::unexpected(std::string("a route lacks host, path-prefix, route-type or timeout-ms"));
        auto services = decodeServices(json);
        if (!services)
            return tl::unexpected(services.error());
        route.name = textOf(json, "name").value_or(*host + *prefix);
        route.host = *host;
        route.pathPrefix = *prefix;
        route.kind = *kind;
        route.services = std::move(*services);
        route.timeout = fromMs(*timeout);
        route.targetLatency = fromMs(numberOf(json, "target-latency-ms").value_or(*timeout));
        route.due = fromMs(numberOf(json, "due-ms").value_or(*timeout));
        constexpr double msPerSecond = 1000;
        constexpr double defaultRetentionSeconds = 60;
        route.retention = fromMs(numberOf(json, "retention-s").value_or(defaultRetentionSeconds) * msPerSecond);
        route.priority = static_cast<std::uint32_t>(countOf(json, "priority").value_or(route.priority));
        route.maxAttempts = static_cast<std::uint32_t>(countOf(json, "max-attempts").value_or(1));
        route.isResumable = flagOf(json, "resumable").value_or(false);
        route.isSingleVersion = flagOf(json, "single-version").value_or(false);
        route.isPublic = flagOf(json, "public").value_or(false);
        return route;
    }

    // More endpoints than any data centre runs of a service. Limits beyond it are read as this number.
    constexpr std::uint64_t maxEndpoints = 1000;

    /// Decodes the scaling rules of a service; empty if it has none.
    Result<std::optional<scaling::ScalingRules>> decodeScaling(const Json& service, const std::string& name)
    {
        const auto found = service.find("scaling");
        if (found == service.end() || found->is_null())
            return std::optional<scaling::ScalingRules>();
        const auto minimum = countOf(*found, "min-replicas");
        const auto maximum = countOf(*found, "max-replicas");
        const auto boot = numberOf(*found, "boot-s");
        const auto spotPrice = numberOf(*found, "spot-price");
        const auto prices = found->find("zone-prices");
        if (!minimum || !maximum || !boot || prices == found->end() || !prices->is_object())
            return tl::unexpected("scaling of service " + name + " lacks min-replicas, max-replicas, boot-s or zone-prices");
        if (*minimum > *maximum || *boot < 0 || spotPrice.value_or(1) < 0)
            return tl::unexpected("scaling of service " + name + " has min-replicas above max-replicas, or a time or price below 0");
        scaling::ScalingRules rules;
        rules.minimum = static_cast<std::uint32_t>(std::min(*minimum, maxEndpoints));
        rules.maximum = static_cast<std::uint32_t>(std::min(*maximum, maxEndpoints));
        constexpr double msPerSecond = 1000;
        rules.bootTime = fromMs(*boot * msPerSecond);
        rules.spotPrice = spotPrice;
        for (const auto& [dataCentre, price] : prices->items()) {
            if (!price.is_number() || price.get<double>() < 0)
                return tl::unexpected("scaling of service " + name + " has a price that is not a number from 0");
            rules.prices[DataCentreName(dataCentre)] = price.get<double>();
        }
        return std::optional(std::move(rules));
    }

    Result<gateway::Service> decodeService(const Json& json)
    {
        const auto name = textOf(json, "name");
        if (!name)
            return tl::unexpected(std::string("a service lacks a name"));
        gateway::Service service;
        service.name = ServiceName(*name);
        service.healthPath = textOf(json, "health-path").value_or("/healthz");
        service.maxConnections = countOf(json, "max-connections").value_or(service.maxConnections);
        const auto engine = json.find("engine");
        if (engine != json.end())
            service.kvCapacity = countOf(*engine, "kv-capacity").value_or(0);
        const Json* models = engine == json.end() ? nullptr : listOf(*engine, "models");
        if (models) {
            for (const Json& model : *models) {
                if (const auto modelName = textOf(model, "name"))
                    service.models.emplace_back(*modelName);
            }
        }
        auto scaling = decodeScaling(json, *name);
        if (!scaling)
            return tl::unexpected(scaling.error());
        service.scaling = std::move(*scaling);
        return service;
    }

    Result<gateway::Workspace> decodeWorkspace(const Json& json)
    {
        const auto name = textOf(json, "name");
        const Json* keys = listOf(json, "api-keys");
        if (!name || !keys)
            return tl::unexpected(std::string("a tenant lacks name or api-keys"));
        gateway::Workspace workspace { WorkspaceName(*name), {}, std::nullopt };
        for (const Json& key : *keys) {
            if (!key.is_string())
                return tl::unexpected("tenant " + *name + " has a key that is not a text");
            workspace.keys.push_back(key.get<std::string>());
        }
        if (const auto priority = countOf(json, "priority"))
            workspace.priority = static_cast<std::uint32_t>(std::min<std::uint64_t>(*priority, std::numeric_limits<std::uint32_t>::max()));
        return workspace;
    }

    /// Decodes the workspaces; empty if the configuration has none, so that requests need no keys.
    Result<std::optional<gateway::WorkspaceTable>> decodeWorkspaces(const Json& json)
    {
        if (!json.contains("tenants"))
            return std::optional<gateway::WorkspaceTable>();
        const Json* tenants = listOf(json, "tenants");
        if (!tenants)
            return tl::unexpected(std::string("tenants is not a list"));
        std::vector<gateway::Workspace> workspaces;
        for (const Json& tenant : *tenants) {
            auto workspace = decodeWorkspace(tenant);
            if (!workspace)
                return tl::unexpected(workspace.error());
            workspaces.push_back(std::move(*workspace));
        }
        return std::optional(gateway::WorkspaceTable(std::move(workspaces)));
    }

    http1::ServerLimits decodeLimits(const Json& json)
    {
        http1::ServerLimits limits;
        const auto found = json.find("limits");
        if (found == json.end())
            return limits;
        limits.message.headerBytes = static_cast<std::uint32_t>(countOf(*found, "max-header-bytes").value_or(limits.message.headerBytes));
        limits.message.bodyBytes = countOf(*found, "max-body-bytes").value_or(limits.message.bodyBytes);
        if (const auto ms = numberOf(*found, "header-timeout-ms"))
            limits.headerTimeout = fromMs(*ms);
        if (const auto ms = numberOf(*found, "idle-timeout-ms"))
            limits.idleTimeout = fromMs(*ms);
        return limits;
    }

}

tl::expected<gateway::RouteTable, std::string> decodeConfiguration(std::string_view text)
{
    const auto json = internal::parseJson(text);
    if (!json)
        return tl::unexpected(std::string("the configuration is not valid JSON"));
    const auto version = countOf(*json, "version");
    const Json* routes = listOf(*json, "routes");
    const Json* services = listOf(*json, "services");
    if (!version || *version == 0 || !routes || !services)
        return tl::unexpected(std::string("the configuration lacks version, routes or services"));
    std::vector<gateway::Route> decodedRoutes;
    for (const Json& route : *routes) {
        auto decoded = decodeRoute(route);
        if (!decoded)
            return tl::unexpected(decoded.error());
        decodedRoutes.push_back(std::move(*decoded));
    }
    std::vector<gateway::Service> decodedServices;
    for (const Json& service : *services) {
        auto decoded = decodeService(service);
        if (!decoded)
            return tl::unexpected(decoded.error());
        decodedServices.push_back(std::move(*decoded));
    }
    auto workspaces = decodeWorkspaces(*json);
    if (!workspaces)
        return tl::unexpected(workspaces.error());
    return gateway::RouteTable(*version, std::move(decodedRoutes), std::move(decodedServices), decodeLimits(*json), std::move(*workspaces));
}

}
