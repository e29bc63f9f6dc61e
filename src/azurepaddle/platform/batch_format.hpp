#pragma once

#include "azurepaddle/batch/types.hpp"
#include "azurepaddle/gateway/route_table.hpp"
#include "azurepaddle/registry/requests.hpp"

#include <tl/expected.hpp>

namespace azurepaddle::platform {

/// Parses a batch job that was submitted on a route. The error message names the part that is missing or invalid.
[[nodiscard]] tl::expected<batch::JobSpec, std::string> decodeJob(const batch::JobId& id, const gateway::Route& route, const WorkspaceName& workspace, std::string_view body);

/// Encodes results, starting at a position.
[[nodiscard]] std::string encodeResults(const registry::ReadResultsReply& reply, std::uint64_t after);

}
