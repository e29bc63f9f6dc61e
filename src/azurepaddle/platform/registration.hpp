#pragma once

#include "azurepaddle/registry/endpoint.hpp"

#include <optional>
#include <string_view>

namespace azurepaddle::platform {

/// Reads a heartbeat of the endpoint with this identifier. Nothing if it names no endpoint to use: a field is missing, of
/// another type, or of an unknown value.
[[nodiscard]] std::optional<registry::EndpointHeartbeat> decodeBeat(std::string_view id, std::string_view body);

/// Reads the message of an endpoint that leaves.
[[nodiscard]] registry::EndpointIncarnation decodeLeave(std::string_view id, std::string_view body);

}
