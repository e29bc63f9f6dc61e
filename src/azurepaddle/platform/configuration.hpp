#pragma once

#include "azurepaddle/gateway/route_table.hpp"

#include <tl/expected.hpp>

namespace azurepaddle::platform {

/// Reads an operator's configuration. A message says what cannot be read; whether it makes sense is for validate.
[[nodiscard]] tl::expected<gateway::RouteTable, std::string> decodeConfiguration(std::string_view text);

}
