#pragma once

#include "azurepaddle/execution/duty_client.hpp"
#include "azurepaddle/registry/usage_ledger.hpp"
#include "azurepaddle/scaling/types.hpp"

namespace azurepaddle::platform {

/// Encodes the calls of duties at the platform.
struct DutyProtocol {
    [[nodiscard]] static http1::Request usageRequest(const registry::WindowUsage& usage, const execution::DutyHolder& holder);
    /// Orders a number of endpoints.
    [[nodiscard]] static http1::Request scaleRequest(const scaling::ScaleOrder& order, const execution::DutyHolder& holder);
};

}
