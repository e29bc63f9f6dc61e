#include "azurepaddle/scaling/history.hpp"

#include <algorithm>
#include <utility>

namespace azurepaddle::scaling {

namespace {

    // After a withdrawal no spot endpoints are available anywhere for 8 to 10 s.
    constexpr Duration spotUnavailableTime = std::chrono::seconds(10);
    // A refusal of spot endpoints within this time of a withdrawal means that there are still none anywhere.
    constexpr Duration withdrawalEffect = std::chrono::seconds(30);
    constexpr Duration minRefusalPause = std::chrono::seconds(3);
    constexpr unsigned maxPauseDoublings = 4;
    constexpr Duration repeatInterval = std::chrono::seconds(1);
    // Between two increases of a service without a refusal or withdrawal. Shorter ones would react to items that have
    // been accepted and not yet started.
    constexpr Duration increaseInterval = std::chrono::seconds(1);
    // Time without an increase, refusal or withdrawal before endpoints are removed.
    constexpr Duration holdTime = std::chrono::seconds(30);
    // Steps of training follow each other within this time, so their endpoints are kept from one to the next. A new leader
    // removes nothing for as long, because it does not know the load before its time.
    constexpr Duration demandMemory = std::chrono::seconds(60);
    constexpr Duration decreaseInterval = std::chrono::seconds(10);
    constexpr Duration minute = std::chrono::minutes(1);
    // Endpoints that do not serve this long after the boot time are not expected any more.
    constexpr Duration bootMargin = std::chrono::seconds(3);

}

ScalingHistory::Service& ScalingHistory::serviceOf(const ServiceName& name)
{
    return m_services.try_emplace(name, Service { {}, {}, m_startedAt }).first->second;
}

void ScalingHistory::start(const std::vector<ScaleOrder>& recorded, TimePoint now)
{
    *this = {};
    m_startedAt = now;
    for (const ScaleOrder& order : recorded) {
        Group& group = m_groups[order.group];
        group.ordered = order.count;
        group.orderedAt = now;
        group.isTakenOver = true;
    }
    if (!recorded.empty()) {
        Group& newest = m_groups[recorded.back().group];
        newest.isUnanswered = true;
        newest.orderedAt = now - repeatInterval;
    }
}

void ScalingHistory::observe(const EndpointGroup& key, const GroupObservation& observation, const ScalingRules& rules, TimePoint now)
{
    Group& group = m_groups[key];
    const GroupObservation before = std::exchange(group.observed, observation);
    const bool areAllGone = key.kind == EndpointKind::Spot && before.serving > 1 && observation.serving == 0 && group.ordered != 0U;
    // Endpoints that leave because fewer were ordered are no withdrawal.
    const bool areFewerOrdered = group.ordered && *group.ordered <= observation.serving;
    if ((observation.isWithdrawn && !areFewerOrdered) || areAllGone)
        recordWithdrawal(group, key.service, now);
    const bool isSettled = now - group.orderedAt > rules.bootTime + bootMargin;
    if (group.ordered && isSettled && !group.isUnanswered)
        group.ordered.reset();
    // A decrease that may not have arrived is not repeated, and an order of what is there needs no repetition. The same
    // applies to orders of an earlier leader: what is there counts as ordered.
    const bool isUncertain = group.isUnanswered || std::exchange(group.isTakenOver, false);
    if (isUncertain && group.ordered && *group.ordered <= observation.serving + observation.leaving) {
        group.ordered.reset();
        group.isUnanswered = false;
    }
}

void ScalingHistory::recordWithdrawal(Group& group, const ServiceName& service, TimePoint now)
{
    // The endpoints that leave are reported again until they are gone; it is one withdrawal.
    if (group.ordered || now >= m_spotBlockedUntil)
        serviceOf(service).lastDisturbance = now;
    group.ordered.reset();
    group.isUnanswered = false;
    m_lastWithdrawal = now;
    m_spotBlockedUntil = now + spotUnavailableTime;
}

void ScalingHistory::recordOrder(const ScaleOrder& order, TimePoint now)
{
    Group& group = m_groups[order.group];
    Service& service = serviceOf(order.group.service);
    const std::uint32_t expected = stateOf(group, now).expected();
    if (!group.isUnanswered || group.ordered != order.count)
        group.expectedBefore = expected;
    group.ordered = order.count;
    group.orderedAt = now;
    group.isUnanswered = true;
    (order.count < expected ? service.lastDecrease : service.lastIncrease) = now;
    service.orders.push_back(now);
    while (now - service.orders.front() > minute)
        service.orders.pop_front();
}

void ScalingHistory::recordOutcome(const ScaleOrder& order, OrderOutcome outcome, TimePoint now)
{
    Group& group = m_groups[order.group];
    if (outcome == OrderOutcome::Unanswered)
        return;
    group.isUnanswered = false;
    if (outcome == OrderOutcome::Accepted) {
        group.refusals = 0;
        group.maxIncrease.reset();
        return;
    }
    const std::uint32_t increase = order.count - std::min(order.count, group.expectedBefore);
    group.ordered.reset();
    if (increase > 0)
        group.maxIncrease = std::max(1U, increase / 2);
    group.blockedUntil = now + minRefusalPause * (1U << std::min(group.refusals, maxPauseDoublings));
    ++group.refusals;
    serviceOf(order.group.service).lastDisturbance = now;
    if (order.group.kind == EndpointKind::Spot && m_lastWithdrawal != TimePoint {} && now - m_lastWithdrawal < withdrawalEffect)
        m_spotBlockedUntil = std::max(m_spotBlockedUntil, now + minRefusalPause);
}

void ScalingHistory::recordDemand(const ServiceName& name, std::uint32_t endpoints, TimePoint now)
{
    auto& demand = serviceOf(name).demand;
    while (!demand.empty() && demand.back().second <= endpoints)
        demand.pop_back();
    demand.emplace_back(now, endpoints);
    while (now - demand.front().first > demandMemory)
        demand.pop_front();
}

GroupState ScalingHistory::stateOf(const Group& group, TimePoint now)
{
    GroupState state;
    state.serving = group.observed.serving;
    state.busy = group.observed.busy;
    state.leaving = group.observed.leaving;
    state.ordered = group.ordered;
    state.isUnanswered = group.isUnanswered;
    state.mayRepeat = now - group.orderedAt >= repeatInterval;
    state.isBlocked = now < group.blockedUntil;
    state.maxIncrease = group.maxIncrease;
    return state;
}

void ScalingHistory::describe(ServiceState& service, TimePoint now) const
{
    service.groups.clear();
    service.bootLeft = Duration::zero();
    for (const auto& [key, group] : m_groups) {
        if (key.service != service.name)
            continue;
        GroupState& state = service.groups[key] = stateOf(group, now);
        if (state.expected() > state.serving)
            service.bootLeft = std::max(service.bootLeft, group.orderedAt + service.rules.bootTime - now);
        state.isBlocked = state.isBlocked || (key.kind == EndpointKind::Spot && now < m_spotBlockedUntil);
    }
    // Groups without a history are blocked by a withdrawal elsewhere, too.
    for (const auto& [dataCentre, price] : service.rules.prices) {
        GroupState& state = service.groups[{ service.name, dataCentre, EndpointKind::Spot }];
        state.isBlocked = state.isBlocked || now < m_spotBlockedUntil;
    }
    const auto found = m_services.find(service.name);
    const Service past = found == m_services.end() ? Service { {}, {}, m_startedAt } : found->second;
    const auto recent = std::count_if(past.orders.begin(), past.orders.end(), [now](TimePoint order) { return now - order <= minute; });
    service.ordersLeft = maxOrdersPerMinute - std::min(maxOrdersPerMinute, static_cast<std::uint32_t>(recent));
    const auto highest = std::find_if(past.demand.begin(), past.demand.end(), [now](const auto& entry) { return now - entry.first <= demandMemory; });
    service.recentDemand = highest == past.demand.end() ? 0 : highest->second;
    service.mayIncrease = past.orders.empty() || now - past.lastIncrease >= increaseInterval || past.lastDisturbance > past.lastIncrease;
    service.mayDecrease = now - m_startedAt >= demandMemory && now - past.lastIncrease >= holdTime && now - past.lastDisturbance >= holdTime && now - past.lastDecrease >= decreaseInterval;
}

}
