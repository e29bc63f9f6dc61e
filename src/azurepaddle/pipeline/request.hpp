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

/// A client request as received, before validation. Absent header values are empty.
struct CallerRequest {
    RequestId id;
    std::string token; ///< Bearer token.
    ServiceName service; ///< Set for plain services only; for engines, the `model` field of the body names the service.
    std::string path; ///< Path of the request to the endpoint.
    std::string contentType;
    std::string body;
    std::string idempotencyKey;
    std::optional<bool> nonIdempotent;
    std::optional<WorkClass> workClass;
    std::optional<Duration> timeout; ///< Counted from the arrival of the request.
    std::int64_t keyFirstSeenMs = 0; ///< Time of the key's first use, in ms; 0 if the client did not send it.
    bool isEngine = true;

    friend bool operator==(const CallerRequest&, const CallerRequest&) = default;
};

/// Generation parameters of an engine request.
struct Generation {
    std::string fields; ///< The body's JSON object without the fields that the pipeline sets.
    std::string prompt; ///< Used for prefix hashes and size estimates.
    std::optional<double> maxTokens;
    std::string adapter;
    bool isStreamed = false;

    friend bool operator==(const Generation&, const Generation&) = default;
};

/// A validated request that passes through the stages of the pipeline.
struct WorkItem {
    RequestId id;
    TenantName tenant;
    RunName run; ///< Empty for application requests.
    ServiceName service;
    std::shared_ptr<const config::Configuration> configuration; ///< The configuration in force when the request arrived.
    std::string path;
    std::string contentType;
    std::string body; ///< Request body; sent unchanged to plain services only.
    Generation generation; ///< Generation parameters; set for engines.
    bool isEngine = true;
    bool isIdempotent = true;
    std::string idempotencyKey;
    std::int64_t keyFirstSeenMs = 0;
    std::optional<WorkClass> workClass;
    TimePoint arrived {};
    TimePoint deadline {};
    std::uint32_t sampleIndex = 0;
    std::optional<WeightVersion> minVersion; ///< Samples of older weight versions would be discarded as stale.
    std::optional<EndpointId> avoidedEndpoint; ///< Endpoint that already runs another copy of the request.
    int priority = 0; ///< Engines schedule lower values first.
};

}
