#pragma once

#include "azurepaddle/execution/duty_client.hpp"
#include "azurepaddle/scaling/types.hpp"

namespace azurepaddle::platform {

/// Encodes the order of a number of endpoints.
[[nodiscard]] http1::Request scaleRequest(const scaling::ScaleOrder& order, const execution::DutyHolder& holder);

}
