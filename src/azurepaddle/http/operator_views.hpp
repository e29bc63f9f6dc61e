#pragma once

#include "azurepaddle/http/operator_routes.hpp"

#include <nlohmann/json.hpp>

namespace azurepaddle::http::internal {

using Json = nlohmann::json;

/// These return the JSON objects of the operators' paths, whose members docs/http.md describes.
[[nodiscard]] Json configurationView(const OperatorParts& parts);
[[nodiscard]] Json statusView(const OperatorParts& parts);
[[nodiscard]] Json instancesView(const OperatorParts& parts);
[[nodiscard]] Json endpointsView(const OperatorParts& parts);
[[nodiscard]] Json runsView(const OperatorParts& parts);
[[nodiscard]] Json tenantsView(const OperatorParts& parts);
[[nodiscard]] Json histogramsView(const OperatorParts& parts);
[[nodiscard]] Json ordersView(const OperatorParts& parts);

/// The accepted configurations and the suspects, both read from the log.
[[nodiscard]] pipeline::PipelineResult<Json> historyView(const OperatorParts& parts);
[[nodiscard]] pipeline::PipelineResult<Json> suspectsView(const OperatorParts& parts);

}
