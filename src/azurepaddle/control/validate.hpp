#pragma once

#include "azurepaddle/control/command.hpp"

#include <optional>

namespace azurepaddle::control::internal {

/// Describes the first field of an action that is missing or exceeds its limit, or nothing.
[[nodiscard]] std::optional<std::string> findInvalidField(const ControlAction& action);

}
