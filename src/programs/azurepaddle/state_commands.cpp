#include "operator_client.hpp"
#include "table.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <iostream>

namespace azurepaddle::tool {

namespace {

    Result<void> printList(const CommandLine& line, const std::string& key, const std::vector<Column>& columns)
    {
        const auto rows = OperatorClient(line.common).list(key);
        if (!rows)
            return tl::unexpected(rows.error());
        if (line.common.isJson)
            std::cout << Json { { key, *rows } }.dump() << "\n";
        else
            std::cout << formatTable(*rows, columns);
        return {};
    }

    bool names(const Json& rows, std::string_view member, const std::string& name)
    {
        return std::any_of(rows.begin(), rows.end(), [&](const Json& row) { return cellText(row, member) == name; });
    }

    /// Whether the name is that of an endpoint or of an instance.
    Result<std::string> kindOf(const OperatorClient& client, const std::string& name)
    {
        const auto endpoints = client.list("endpoints");
        if (!endpoints)
            return tl::unexpected(endpoints.error());
        const auto instances = client.list("instances");
        if (!instances)
            return tl::unexpected(instances.error());
        const bool isEndpoint = names(*endpoints, "id", name);
        const bool isInstance = names(*instances, "name", name);
        if (isEndpoint && isInstance)
            return makeError(ExitCode::BadUsage, fmt::format("drain: {} is both an endpoint and an instance; add --kind", name));
        if (!isEndpoint && !isInstance)
            return makeError(ExitCode::Refused, fmt::format("drain: no endpoint or instance is named {}", name));
        return isEndpoint ? "endpoint" : "instance";
    }

    bool isPathSafe(const std::string& name)
    {
        return !name.empty() && std::all_of(name.begin(), name.end(), [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == ':'; });
    }

}

Result<void> runHistory(const CommandLine& line)
{
    return printList(line, "history", { { "number", "NUMBER" }, { "digest", "DIGEST" }, { "in_force", "IN FORCE" }, { "time", "ACCEPTED" }, { "instance", "BY INSTANCE" } });
}

Result<void> runStatus(const CommandLine& line)
{
    const auto rows = OperatorClient(line.common).list("status");
    if (!rows)
        return tl::unexpected(rows.error());
    if (line.common.isJson) {
        std::cout << Json { { "status", *rows } }.dump() << "\n";
        return {};
    }
    for (const Json& row : *rows) {
        for (const auto& [name, value] : row.items())
            std::cout << fmt::format("{:<24} {}\n", name, cellText(row, name));
    }
    return {};
}

Result<void> runInstances(const CommandLine& line)
{
    return printList(line, "instances",
        { { "name", "NAME" }, { "state", "STATE" }, { "ready", "READY" }, { "data_centre", "DATA CENTRE" }, { "roles", "ROLES" }, { "address", "ADDRESS" },
            { "incarnation", "INCARNATION" }, { "configuration", "CONFIGURATION" }, { "leader", "LEADER" } });
}

Result<void> runEndpoints(const CommandLine& line)
{
    return printList(line, "endpoints",
        { { "id", "ID" }, { "service", "SERVICE" }, { "state", "STATE" }, { "data_centre", "DATA CENTRE" }, { "address", "ADDRESS" }, { "role", "ROLE" },
            { "versions", "VERSIONS" }, { "slots", "SLOTS" }, { "running", "RUNNING" }, { "queued", "QUEUED" }, { "outstanding_tokens", "TOKENS" } });
}

Result<void> runRuns(const CommandLine& line)
{
    return printList(line, "runs",
        { { "name", "NAME" }, { "tenant", "TENANT" }, { "service", "SERVICE" }, { "owner", "OWNER" }, { "version", "VERSION" }, { "cursor", "CURSOR" },
            { "groups", "GROUPS" }, { "samples_ready", "READY" }, { "samples_running", "RUNNING" }, { "samples_stale", "STALE" } });
}

Result<void> runTenants(const CommandLine& line)
{
    return printList(line, "tenants",
        { { "name", "NAME" }, { "weight", "WEIGHT" }, { "queued", "QUEUED" }, { "queued_bytes", "QUEUED BYTES" }, { "running", "RUNNING" },
            { "tokens", "TOKENS" }, { "share", "SHARE" }, { "refused", "REFUSED" } });
}

Result<void> runOrders(const CommandLine& line)
{
    return printList(line, "orders",
        { { "endpoint", "ENDPOINT" }, { "action", "ACTION" }, { "version", "VERSION" }, { "state", "STATE" }, { "fencing_token", "TOKEN" },
            { "attempts", "ATTEMPTS" }, { "time", "LAST SENT" }, { "reason", "REASON" } });
}

Result<void> runHistograms(const CommandLine& line)
{
    const auto rows = OperatorClient(line.common).list("histograms");
    if (!rows)
        return tl::unexpected(rows.error());
    if (line.common.isJson) {
        std::cout << Json { { "histograms", *rows } }.dump() << "\n";
        return {};
    }
    for (const Json& row : *rows) {
        const Json buckets = row.value("buckets", Json::array());
        std::cout << fmt::format("{} {} {}: {} values, p50 {} ms, p99 {} ms\n{}\n", cellText(row, "tenant"), cellText(row, "class"), cellText(row, "measure"),
            cellText(row, "count"), cellText(row, "p50_ms"), cellText(row, "p99_ms"), formatBars(buckets));
    }
    return {};
}

Result<void> runDrain(const CommandLine& line)
{
    const std::string& name = line.operands.front();
    if (!isPathSafe(name))
        return makeError(ExitCode::BadUsage, "drain: the operand is not a name of an endpoint or instance");
    const OperatorClient client(line.common);
    const Result<std::string> kind = line.kind.empty() ? kindOf(client, name) : Result<std::string>(line.kind);
    if (!kind)
        return tl::unexpected(kind.error());
    const auto answer = client.post(fmt::format("/v1/drain/{}/{}", *kind, name), "", "text/plain");
    if (!answer)
        return tl::unexpected(answer.error());
    const std::string result = answer->value("result", std::string());
    if (line.common.isJson)
        std::cout << answer->dump() << "\n";
    if (result != "draining" && result != "already-draining")
        return makeError(ExitCode::Refused, fmt::format("drain: {} {}: {}", *kind, name, result));
    if (!line.common.isJson)
        std::cout << fmt::format("{} {}: {}\n", *kind, name, result);
    return {};
}

}
