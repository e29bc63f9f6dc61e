#pragma once

#include "azurepaddle/control/types.hpp"
#include "azurepaddle/core/clock.hpp"

#include <string>
#include <vector>

namespace azurepaddle::weights {

enum class OrderKind : unsigned char {
    Prefetch, ///< Fetch a version from the weight store without serving it.
    Switch, ///< Serve a prefetched version.
    LoadAdapter,
    UnloadAdapter,
};

/// Returns the name of an order in requests to endpoints and in operator views.
[[nodiscard]] constexpr const char* orderName(OrderKind kind) noexcept
{
    switch (kind) {
    case OrderKind::Prefetch:
        return "prefetch";
    case OrderKind::Switch:
        return "switch";
    case OrderKind::LoadAdapter:
        return "load-adapter";
    case OrderKind::UnloadAdapter:
        return "unload-adapter";
    }
    return "unknown";
}

/// An operation for an endpoint to perform.
struct OrderAction {
    EndpointId endpoint;
    OrderKind kind = OrderKind::Prefetch;
    WeightVersion version = 0; ///< Set for Prefetch and Switch.
    std::string adapter; ///< Set for LoadAdapter and UnloadAdapter.

    bool operator==(const OrderAction&) const = default;
};

/// An authorised action with its fencing token. It must not be sent or executed after the deadline.
struct Order {
    OrderAction action;
    control::Epoch fencingToken = 0;
    TimePoint deadline {};

    bool operator==(const Order&) const = default;
};

/// The state that an endpoint reports about itself.
struct EndpointReport {
    EndpointId endpoint;
    std::uint64_t incarnation = 0;
    /// Versions being served; more than one after a partial swap, none if not reported.
    std::vector<WeightVersion> versions;
    std::vector<WeightVersion> prefetched;
    std::vector<std::string> adapters;
    bool isSwapping = false;
    TimePoint requestedAt {}; ///< Time at which this instance requested the state, or received the announcement.

    bool operator==(const EndpointReport&) const = default;
};

}
