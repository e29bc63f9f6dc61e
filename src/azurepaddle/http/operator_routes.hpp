#pragma once

#include "azurepaddle/http/server.hpp"
#include "azurepaddle/metrics/registry.hpp"
#include "azurepaddle/pipeline/configuration_service.hpp"
#include "azurepaddle/pipeline/peer_exchange.hpp"
#include "azurepaddle/pipeline/run_service.hpp"
#include "azurepaddle/pipeline/weight_service.hpp"

#include <functional>

namespace azurepaddle::http {

/// The parts of an instance that the operators' routes use. The references must outlive the server.
struct OperatorParts {
    std::string instance; ///< Name of this instance.
    pipeline::ConfigurationService& configurations;
    const pipeline::ConfigurationHolder& holder;
    pipeline::LiveDirectory& directory;
    pipeline::PeerExchange& exchange;
    control::ControlClient& control;
    control::ControlGroup* group; ///< Null on instances that are not members of the replicated log.
    metrics::Registry& metrics;
    pipeline::LiveRouter& router;
    pipeline::Dispatcher& dispatcher;
    pipeline::CallerService& callers;
    pipeline::RunService& runs;
    pipeline::WeightService& weights;
    std::function<bool()> isReady;
    std::function<std::string(const std::string&)> drainInstance; ///< Returns the name of the result, or an empty text if the instance is unknown.
};

/// Adds the routes of operators and of the platform: configuration, state, drain, metrics and probes. Metrics and probes
/// need no secret.
void addOperatorRoutes(HttpServer& server, const OperatorParts& parts, const std::string& secret);

}
