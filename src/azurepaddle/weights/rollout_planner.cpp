#include "azurepaddle/weights/rollout_planner.hpp"

#include <algorithm>
#include <cmath>

namespace azurepaddle::weights {

namespace {

    template <typename Value>
    bool contains(const std::vector<Value>& values, const Value& value)
    {
        return std::find(values.begin(), values.end(), value) != values.end();
    }

}

RolloutPlanner::RolloutPlanner(PlannerSettings settings) noexcept
    : m_settings(settings)
    , m_storeLimiter(settings.storeBytesPerSecond, settings.weightBytes)
    , m_swapDuration(settings.initialSwapDuration)
{
}

void RolloutPlanner::setTarget(TargetWeights target, TimePoint now)
{
    if (target == m_target)
        return;
    if (target.version != m_target.version) {
        m_targetSince = now;
        m_switchStarted.reset();
        m_switchTime.reset();
        for (auto& [id, endpoint] : m_endpoints)
            endpoint.wasSwitchOrdered = false;
    }
    m_target = std::move(target);
}

void RolloutPlanner::onReport(const EndpointReport& report, TimePoint now)
{
    Endpoint& endpoint = m_endpoints[report.endpoint];
    const bool isRestart = endpoint.report.incarnation != report.incarnation;
    // A report that was requested before the current one is outdated.
    if (!isRestart && report.requestedAt < endpoint.report.requestedAt)
        return;
    endpoint.report = report;
    if (!report.isSwapping || isRestart)
        endpoint.swappingSince.reset();
    if (report.isSwapping && !endpoint.swappingSince)
        endpoint.swappingSince = report.requestedAt;
    if (isRestart) {
        endpoint.prefetch.reset();
        endpoint.change.reset();
    }
    completePendingOrders(endpoint, now);
    recordCompletion(now);
}

/// Completes pending orders whose effect is visible in the reported state, and drops orders that timed out without one.
void RolloutPlanner::completePendingOrders(Endpoint& endpoint, TimePoint now)
{
    const EndpointReport& report = endpoint.report;
    if (endpoint.prefetch) {
        const WeightVersion version = endpoint.prefetch->action.version;
        if (contains(report.prefetched, version) || contains(report.versions, version))
            endpoint.prefetch.reset();
    }
    if (!endpoint.change || report.requestedAt <= endpoint.change->sent)
        return;
    const OrderAction& action = endpoint.change->action;
    const bool isDone = (action.kind == OrderKind::Switch && confirmedVersion(endpoint) == action.version)
        || (action.kind == OrderKind::LoadAdapter && contains(report.adapters, action.adapter))
        || (action.kind == OrderKind::UnloadAdapter && !contains(report.adapters, action.adapter));
    if (isDone && action.kind == OrderKind::Switch)
        m_swapDuration = (3 * m_swapDuration + (now - endpoint.change->sent)) / 4;
    const Duration limit = report.isSwapping ? m_settings.swapTimeout : m_settings.orderTimeout;
    if (isDone || report.requestedAt - endpoint.change->sent >= limit)
        endpoint.change.reset();
}

void RolloutPlanner::onEndpointRemoved(const EndpointId& endpoint)
{
    m_endpoints.erase(endpoint);
}

void RolloutPlanner::onOrderFailed(const OrderAction& action, TimePoint now)
{
    const auto found = m_endpoints.find(action.endpoint);
    if (found == m_endpoints.end())
        return;
    Endpoint& endpoint = found->second;
    // Only the next reported state shows whether a failed switch took effect.
    if (endpoint.change && endpoint.change->action == action && action.kind == OrderKind::Switch)
        endpoint.unconfirmedUntil = std::max(endpoint.unconfirmedUntil, now);
    if (endpoint.change && endpoint.change->action == action)
        endpoint.change->sent = std::min(endpoint.change->sent, now - m_settings.orderTimeout);
    if (endpoint.prefetch && endpoint.prefetch->action == action)
        endpoint.prefetch.reset();
}

void RolloutPlanner::onOrderNotSent(const OrderAction& action)
{
    const auto found = m_endpoints.find(action.endpoint);
    if (found == m_endpoints.end())
        return;
    Endpoint& endpoint = found->second;
    if (endpoint.prefetch && endpoint.prefetch->action == action)
        endpoint.prefetch.reset();
    if (endpoint.change && endpoint.change->action == action)
        endpoint.change.reset();
}

std::vector<OrderAction> RolloutPlanner::plan(TimePoint now)
{
    std::vector<OrderAction> actions;
    if (m_target.version == 0)
        return actions;
    for (auto& [id, endpoint] : m_endpoints)
        planPrefetch(endpoint, now, actions);
    const bool isSwitchAllowed = maySwitch(now);
    for (auto& [id, endpoint] : m_endpoints) {
        if (isSwitchAllowed)
            planSwitch(endpoint, now, actions);
        planAdapters(endpoint, now, actions);
    }
    return actions;
}

void RolloutPlanner::planPrefetch(Endpoint& endpoint, TimePoint now, std::vector<OrderAction>& actions)
{
    if (endpoint.prefetch && now - endpoint.prefetch->sent >= m_settings.prefetchTimeout)
        endpoint.prefetch.reset();
    const bool isBusy = endpoint.prefetch && endpoint.prefetch->action.version == m_target.version;
    if (isBusy || hasPrefetched(endpoint) || !m_storeLimiter.tryAcquire(now))
        return;
    const OrderAction action { endpoint.report.endpoint, OrderKind::Prefetch, m_target.version, {} };
    endpoint.prefetch = PendingOrder { action, now };
    actions.push_back(action);
}

void RolloutPlanner::planSwitch(Endpoint& endpoint, TimePoint now, std::vector<OrderAction>& actions)
{
    if (endpoint.change || hasSwitched(endpoint) || !hasPrefetched(endpoint))
        return;
    if (endpoint.report.isSwapping && !isSwapStuck(endpoint))
        return;
    // An endpoint whose reported state is older than its last switch order may already have switched.
    if (endpoint.report.requestedAt < endpoint.unconfirmedUntil || switchesInProgress(now) >= waveSize())
        return;
    const OrderAction action { endpoint.report.endpoint, OrderKind::Switch, m_target.version, {} };
    m_repeatedSwitches += endpoint.wasSwitchOrdered ? 1 : 0;
    endpoint.wasSwitchOrdered = true;
    endpoint.change = PendingOrder { action, now };
    endpoint.unconfirmedUntil = now;
    endpoint.swappingSince.reset();
    if (!m_switchStarted)
        m_switchStarted = now;
    actions.push_back(action);
}

void RolloutPlanner::planAdapters(Endpoint& endpoint, TimePoint now, std::vector<OrderAction>& actions)
{
    if (endpoint.change || endpoint.report.isSwapping)
        return;
    OrderAction action { endpoint.report.endpoint, OrderKind::LoadAdapter, 0, {} };
    for (const std::string& adapter : m_target.adapters) {
        if (action.adapter.empty() && !contains(endpoint.report.adapters, adapter))
            action.adapter = adapter;
    }
    for (const std::string& adapter : endpoint.report.adapters) {
        if (!action.adapter.empty() || m_target.adapters.contains(adapter))
            continue;
        action.kind = OrderKind::UnloadAdapter;
        action.adapter = adapter;
    }
    if (action.adapter.empty())
        return;
    endpoint.change = PendingOrder { action, now };
    actions.push_back(action);
}

bool RolloutPlanner::maySwitch(TimePoint now) const
{
    if (m_switchStarted || now - m_targetSince >= m_settings.prefetchWaitLimit)
        return true;
    return std::all_of(m_endpoints.begin(), m_endpoints.end(), [this](const auto& endpoint) { return hasPrefetched(endpoint.second); });
}

std::size_t RolloutPlanner::switchesInProgress(TimePoint now) const noexcept
{
    // An unresponsive endpoint must not block the others.
    return static_cast<std::size_t>(std::count_if(m_endpoints.begin(), m_endpoints.end(), [&](const auto& endpoint) {
        const auto& change = endpoint.second.change;
        return change && change->action.kind == OrderKind::Switch && now - change->sent < m_settings.swapTimeout;
    }));
}

bool RolloutPlanner::isSwapStuck(const Endpoint& endpoint) const noexcept
{
    return endpoint.swappingSince && endpoint.report.requestedAt - *endpoint.swappingSince >= m_settings.swapTimeout;
}

std::size_t RolloutPlanner::waveSize() const noexcept
{
    const double budget = std::chrono::duration<double>(m_settings.switchTimeTarget).count() * m_settings.switchTimeShare;
    const double swap = std::chrono::duration<double>(m_swapDuration).count();
    // Waves run one after another, so the number of waves is the number of whole swaps that fit in the budget.
    const double waves = std::max(1.0, std::floor(budget / std::max(swap, 1e-3)));
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(static_cast<double>(m_endpoints.size()) / waves)));
}

std::optional<WeightVersion> RolloutPlanner::confirmedVersion(const Endpoint& endpoint)
{
    const EndpointReport& report = endpoint.report;
    if (report.isSwapping || report.versions.size() != 1 || report.requestedAt <= endpoint.unconfirmedUntil)
        return std::nullopt;
    return report.versions.front();
}

std::optional<WeightVersion> RolloutPlanner::confirmedVersion(const EndpointId& endpoint) const
{
    const auto found = m_endpoints.find(endpoint);
    return found == m_endpoints.end() ? std::nullopt : confirmedVersion(found->second);
}

bool RolloutPlanner::hasPrefetched(const Endpoint& endpoint) const
{
    return contains(endpoint.report.prefetched, m_target.version) || hasSwitched(endpoint);
}

bool RolloutPlanner::hasSwitched(const Endpoint& endpoint) const
{
    return confirmedVersion(endpoint) == m_target.version;
}

bool RolloutPlanner::isAtTarget(const EndpointId& endpoint) const
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end() || !hasSwitched(found->second))
        return false;
    const auto& adapters = found->second.report.adapters;
    return std::set<std::string>(adapters.begin(), adapters.end()) == m_target.adapters;
}

WeightVersion RolloutPlanner::servedVersion(double share) const
{
    std::vector<WeightVersion> versions;
    for (const auto& [id, endpoint] : m_endpoints) {
        if (const auto version = confirmedVersion(endpoint))
            versions.push_back(*version);
    }
    if (versions.empty())
        return 0;
    std::sort(versions.begin(), versions.end(), std::greater<>());
    const auto needed = static_cast<std::size_t>(std::ceil(share * static_cast<double>(versions.size())));
    return versions[std::clamp<std::size_t>(needed, 1, versions.size()) - 1];
}

void RolloutPlanner::recordCompletion(TimePoint now)
{
    if (!m_switchStarted || m_switchTime)
        return;
    if (std::all_of(m_endpoints.begin(), m_endpoints.end(), [this](const auto& endpoint) { return hasSwitched(endpoint.second); }))
        m_switchTime = now - *m_switchStarted;
}

RolloutProgress RolloutPlanner::progress() const
{
    RolloutProgress progress;
    progress.endpoints = m_endpoints.size();
    for (const auto& [id, endpoint] : m_endpoints) {
        progress.prefetched += hasPrefetched(endpoint) ? 1 : 0;
        progress.switched += hasSwitched(endpoint) ? 1 : 0;
    }
    progress.isSwitching = m_switchStarted.has_value();
    progress.switchTime = m_switchTime;
    progress.repeatedSwitches = m_repeatedSwitches;
    return progress;
}

}
