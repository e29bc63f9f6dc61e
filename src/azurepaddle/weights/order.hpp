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

/// The name of an order as endpoints and operators see it.
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

/// What an endpoint should do.
struct OrderAction {
    EndpointId endpoint;
    OrderKind kind = OrderKind::Prefetch;
    WeightVersion version = 0; ///< Of Prefetch and Switch.
    std::string adapter; ///< Of LoadAdapter and UnloadAdapter.

    bool operator==(const OrderAction&) const = default;
};

/// An action with the authority to send it. It is not to be sent or acted on after the deadline.
struct Order {
    OrderAction action;
    control::Epoch fencingToken = 0;
    TimePoint deadline {};

    bool operator==(const Order&) const = default;
};

/// The state that an endpoint stated about itself.
struct EndpointReport {
    EndpointId endpoint;
    std::uint64_t incarnation = 0;
    std::vector<WeightVersion> versions; ///< Being served; more than one after a partial swap, none if not stated.
    std::vector<WeightVersion> prefetched;
    std::vector<std::string> adapters;
    bool isSwapping = false;
    TimePoint requestedAt {}; ///< When this instance asked for the state, or received the announcement.

    bool operator==(const EndpointReport&) const = default;
};

}
