#pragma once

#include "azurepaddle/scaling/plan.hpp"

#include <deque>

namespace azurepaddle::scaling {

/// What an observer sees of the endpoints of a group.
struct GroupObservation {
    std::uint32_t serving = 0; ///< Endpoints that accept work.
    std::uint32_t busy = 0; ///< Endpoints that accept work and run items.
    std::uint32_t leaving = 0; ///< Endpoints that drain or announced that they leave.
    bool isWithdrawn = false; ///< A spot endpoint announced when it leaves.

    friend bool operator==(const GroupObservation&, const GroupObservation&) = default;
};

enum class OrderOutcome : std::uint8_t {
    Accepted,
    Refused, ///< None are available at the moment.
    Unanswered, ///< The order may have arrived.
};

/// The orders, refusals, withdrawals and the load of the recent past, from which the plan takes its times. Local to the
/// leader; a new one starts from the orders in the replicated log.
class ScalingHistory {
public:
    /// Forgets everything and takes over the recorded orders, oldest first. The newest one may not have been sent.
    void start(const std::vector<ScaleOrder>& recorded, TimePoint now);
    void observe(const EndpointGroup& group, const GroupObservation& observation, const ScalingRules& rules, TimePoint now);
    /// Records an order when it is sent.
    void recordOrder(const ScaleOrder& order, TimePoint now);
    void recordOutcome(const ScaleOrder& order, OrderOutcome outcome, TimePoint now);
    /// Records the number of endpoints that a service needed.
    void recordDemand(const ServiceName& service, std::uint32_t endpoints, TimePoint now);

    /// Completes the input of the plan with everything but the work and the slots.
    void describe(ServiceState& service, TimePoint now) const;

private:
    struct Group {
        GroupObservation observed;
        std::optional<std::uint32_t> ordered;
        TimePoint orderedAt;
        std::uint32_t expectedBefore = 0; ///< Before the last order.
        bool isUnanswered = false;
        bool isTakenOver = false; ///< The order is from the log, and its endpoints have not been observed yet.
        TimePoint blockedUntil {};
        unsigned refusals = 0; ///< Successive ones.
        std::optional<std::uint32_t> maxIncrease;
    };

    struct Service {
        std::deque<TimePoint> orders; ///< Of the last minute.
        std::deque<std::pair<TimePoint, std::uint32_t>> demand; ///< Decreasing numbers of endpoints, each needed last at its time.
        TimePoint lastIncrease; ///< Or the start, because an earlier leader may have just ordered more.
        TimePoint lastDecrease {};
        TimePoint lastDisturbance {}; ///< Last refusal or withdrawal.
    };

    [[nodiscard]] Service& serviceOf(const ServiceName& name);
    [[nodiscard]] static GroupState stateOf(const Group& group, TimePoint now);
    void recordWithdrawal(Group& group, const ServiceName& service, TimePoint now);

    std::map<EndpointGroup, Group> m_groups;
    std::map<ServiceName, Service> m_services;
    TimePoint m_startedAt {};
    TimePoint m_lastWithdrawal {};
    TimePoint m_spotBlockedUntil {}; ///< In all data centres.
};

}
