#pragma once

#include "azurepaddle/http/server.hpp"
#include "azurepaddle/metrics/registry.hpp"
#include "azurepaddle/pipeline/configuration_service.hpp"
#include "azurepaddle/pipeline/peer_exchange.hpp"

#include <functional>

namespace azurepaddle::http {

/// What the operators' routes read and change. The references outlive the server.
struct OperatorParts {
    pipeline::ConfigurationService& configurations;
    const pipeline::ConfigurationHolder& holder;
    pipeline::LiveDirectory& directory;
    pipeline::PeerExchange& exchange;
    control::ControlClient& control;
    metrics::Registry& metrics;
    std::function<bool()> isReady;
};

/// Adds the routes of operators and of the platform: configuration, state, drain, metrics and probes. Metrics and probes
/// need no secret.
void addOperatorRoutes(HttpServer& server, OperatorParts parts, std::string secret);

}
