#pragma once

#include "azurepaddle/scaling/demand.hpp"
#include "azurepaddle/scaling/types.hpp"

#include <limits>
#include <optional>
#include <string_view>
#include <vector>

namespace azurepaddle::scaling {

/// The endpoints of one group, and what was ordered there.
struct GroupState {
    std::uint32_t serving = 0; ///< Endpoints that accept work.
    std::uint32_t busy = 0; ///< Endpoints that accept work and run items.
    std::uint32_t leaving = 0; ///< Endpoints that drain or announced that they leave.
    std::optional<std::uint32_t> ordered; ///< Number last ordered, until endpoints had time to start or to leave.
    bool isUnanswered = false; ///< It is not known whether the order in `ordered` has arrived.
    bool mayRepeat = false; ///< The unanswered order is old enough to be sent again.
    bool isBlocked = false; ///< The platform refused endpoints or withdrew them lately.
    std::optional<std::uint32_t> maxIncrease; ///< Endpoints to order at once after the platform refused more.

    /// The number of endpoints that serve once what was ordered is carried out.
    [[nodiscard]] std::uint32_t expected() const;

    friend bool operator==(const GroupState&, const GroupState&) = default;
};

/// Input of the scaling plan of one service.
struct ServiceState {
    ServiceName name;
    ScalingRules rules;
    std::map<EndpointGroup, GroupState> groups;
    std::vector<WorkItem> work;
    std::uint32_t slotsPerEndpoint = 1;
    Duration bootLeft {}; ///< Time until the endpoints that boot serve.
    std::uint32_t sustainedNeed = std::numeric_limits<std::uint32_t>::max(); ///< Endpoints needed for a while; a higher need of the moment is a burst.
    std::uint32_t recentDemand = 0; ///< Most endpoints needed at any time of the last minute.
    bool mayIncrease = true; ///< The last increase is not too recent, or endpoints were refused or withdrawn since.
    bool mayDecrease = false; ///< The hold time is over.
    std::uint32_t reserved = 0; ///< Endpoints that are not removed, because of load that is not part of the work.
    std::uint32_t ordersLeft = 0; ///< Number of orders within the limit per minute.
};

enum class OrderReason : std::uint8_t {
    Repeat, ///< The order may not have arrived.
    Minimum, ///< The data centre has fewer endpoints than configured.
    Load, ///< The work in hand cannot end in time.
    Loss, ///< The work in hand could not end in time without the spot endpoints of some data centre.
    Idle, ///< Fewer endpoints suffice.
    Maximum, ///< The data centre has more endpoints than configured.
};

[[nodiscard]] std::string_view nameOf(OrderReason reason);

struct PlannedOrder {
    ScaleOrder order;
    OrderReason reason = OrderReason::Load;

    friend bool operator==(const PlannedOrder&, const PlannedOrder&) = default;
};

/// The orders to send, with the numbers that decided.
struct ScalingPlan {
    std::vector<PlannedOrder> orders;
    std::uint32_t neededNow = 0; ///< Endpoints needed by the work in hand.
    std::uint32_t needed = 0; ///< The same without bursts, which decides.
    std::uint32_t expected = 0; ///< Endpoints that serve or boot.
    std::uint32_t surviving = 0; ///< Of these, those that remain if the data centre with most spot endpoints loses them.

    friend bool operator==(const ScalingPlan&, const ScalingPlan&) = default;
};

/// Maximum number of orders of one service in a minute, including repeated ones.
constexpr std::uint32_t maxOrdersPerMinute = 30;

/// Plans the orders of one service. Endpoints are added where they are cheapest, so that the work in hand ends in time also
/// if any one data centre loses all its spot endpoints. A single late step costs more than endpoints do, so they are
/// removed only while 1.25 times the recent need remains, the most expensive ones first, and never below the number that
/// run items.
[[nodiscard]] ScalingPlan planScaling(const ServiceState& service);

}
