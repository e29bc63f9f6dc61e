#pragma once

#include "azurepaddle/registry/endpoint.hpp"

#include <optional>
#include <string_view>

namespace azurepaddle::platform {

/// Parses a heartbeat of the endpoint with this identifier. Empty if the endpoint cannot be used: a field is missing, has
/// another type or an unknown value.
[[nodiscard]] std::optional<registry::EndpointHeartbeat> decodeHeartbeat(std::string_view id, std::string_view body);

/// Parses the deregistration of an endpoint.
[[nodiscard]] registry::EndpointIncarnation decodeLeave(std::string_view id, std::string_view body);

}
