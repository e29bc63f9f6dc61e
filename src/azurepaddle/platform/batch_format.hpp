#pragma once

#include "azurepaddle/batch/types.hpp"
#include "azurepaddle/gateway/route_table.hpp"
#include "azurepaddle/registry/requests.hpp"

#include <tl/expected.hpp>

namespace azurepaddle::platform {

/// Reads a batch job that was submitted on a route. A message says what cannot be read.
[[nodiscard]] tl::expected<batch::JobSpec, std::string> decodeJob(const batch::JobId& id, const gateway::Route& route, std::string_view body);

/// Writes results from a position on.
[[nodiscard]] std::string encodeResults(const registry::ReadResultsReply& reply, std::uint64_t after);

}
