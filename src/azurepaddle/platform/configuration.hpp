#pragma once

#include "azurepaddle/gateway/route_table.hpp"

#include <tl/expected.hpp>

namespace azurepaddle::platform {

/// Parses an operator's configuration. The error message names the part that is missing or invalid. Whether the parts
/// are consistent is checked by `validate`.
[[nodiscard]] tl::expected<gateway::RouteTable, std::string> decodeConfiguration(std::string_view text);

}
