#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/ident.hpp"
#include "azurepaddle/core/work.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace azurepaddle::config {
class Configuration;
struct ServiceConfiguration;
}

namespace azurepaddle::pipeline {

/// A caller's request as it arrived. Header values that are absent are empty.
struct CallerRequest {
    RequestId id;
    std::string token; ///< Bearer token.
    ServiceName service; ///< For plain services; engines are named by the body's model.
    std::string path; ///< Path at the endpoint.
    std::string contentType;
    std::string body;
    std::string idempotencyKey;
    std::optional<bool> nonIdempotent;
    std::optional<WorkClass> workClass;
    std::optional<Duration> timeout; ///< From arrival.
    std::int64_t keyFirstSeenMs = 0; ///< 0 if not stated.
    bool isEngine = true;

    friend bool operator==(const CallerRequest&, const CallerRequest&) = default;
};

/// What an engine request asks for.
struct Generation {
    std::string fields; ///< The body's JSON object without the fields that the pipeline sets.
    std::string prompt; ///< For prefix hashes and size estimates.
    std::optional<double> maxTokens;
    std::string adapter;
    bool isStreamed = false;

    friend bool operator==(const Generation&, const Generation&) = default;
};

/// A checked request on its way through the filters.
struct WorkItem {
    RequestId id;
    TenantName tenant;
    RunName run; ///< Empty for application requests.
    ServiceName service;
    std::shared_ptr<const config::Configuration> configuration; ///< In force when the request arrived.
    std::string path;
    std::string contentType;
    std::string body; ///< Of plain services.
    Generation generation; ///< Of engines.
    bool isEngine = true;
    bool isIdempotent = true;
    std::string idempotencyKey;
    std::int64_t keyFirstSeenMs = 0;
    std::optional<WorkClass> workClass;
    TimePoint arrived {};
    TimePoint deadline {};
    std::uint32_t sampleIndex = 0;
    std::optional<WeightVersion> minVersion; ///< Older weights would be discarded as stale.
    std::optional<EndpointId> avoidedEndpoint; ///< Where another copy of the request runs.
    int priority = 0; ///< Lower goes first at the engine.
};

}
