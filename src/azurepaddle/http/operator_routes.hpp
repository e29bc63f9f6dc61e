#pragma once

#include "azurepaddle/http/server.hpp"
#include "azurepaddle/metrics/registry.hpp"
#include "azurepaddle/pipeline/configuration_service.hpp"
#include "azurepaddle/pipeline/peer_exchange.hpp"
#include "azurepaddle/pipeline/run_service.hpp"
#include "azurepaddle/pipeline/weight_service.hpp"

#include <functional>

namespace azurepaddle::http {

/// What the operators' routes read and change. The references outlive the server.
struct OperatorParts {
    std::string instance; ///< Name of this one.
    pipeline::ConfigurationService& configurations;
    const pipeline::ConfigurationHolder& holder;
    pipeline::LiveDirectory& directory;
    pipeline::PeerExchange& exchange;
    control::ControlClient& control;
    control::ControlGroup* group; ///< Null on instances that do not take part in the log.
    metrics::Registry& metrics;
    pipeline::LiveRouter& router;
    pipeline::Dispatcher& dispatcher;
    pipeline::CallerService& callers;
    pipeline::RunService& runs;
    pipeline::WeightService& weights;
    std::function<bool()> isReady;
    std::function<std::string(const std::string&)> drainInstance; ///< The result's name, or empty if unknown.
};

/// Adds the routes of operators and of the platform: configuration, state, drain, metrics and probes. Metrics and probes
/// need no secret.
void addOperatorRoutes(HttpServer& server, const OperatorParts& parts, const std::string& secret);

}
