#include "azurepaddle/admission/service_queue.hpp"

#include <algorithm>
#include <map>

namespace azurepaddle::admission::internal {

ServiceQueue::ServiceQueue(const AdmissionSettings& settings)
    : m_settings(settings)
    , m_queue(settings.queue)
{
}

void ServiceQueue::setPolicy(const TenantName& tenant, const TenantPolicy& policy)
{
    const std::lock_guard lock(m_mutex);
    m_policies[tenant] = policy;
    m_queue.setWeight(tenant, policy.weight);
}

const TenantPolicy& ServiceQueue::policyOf(const TenantName& tenant) const
{
    const auto policy = m_policies.find(tenant);
    return policy == m_policies.end() ? m_settings.defaultPolicy : policy->second;
}

tl::expected<Ticket, Refusal> ServiceQueue::admit(Ticket ticket)
{
    const std::lock_guard lock(m_mutex);
    if (const auto reason = findRefusal(ticket))
        return tl::unexpected(Refusal { *reason, retryAfter(ticket, *reason) });
    addUsage(ticket);
    m_queue.push(ticket);
    return ticket;
}

std::optional<RefusalReason> ServiceQueue::findRefusal(const Ticket& ticket) const
{
    const TenantPolicy& policy = policyOf(ticket.tenant);
    const auto found = m_usage.find(ticket.tenant);
    const Usage usage = found == m_usage.end() ? Usage {} : found->second;
    if (usage.queued >= policy.maxQueued)
        return RefusalReason::QueueFull;
    if (usage.bytes + ticket.bytes > policy.maxQueuedBytes)
        return RefusalReason::QueueBytes;
    if (!ticket.deadline)
        return std::nullopt;
    const double secondsToDeadline = std::chrono::duration<double>(*ticket.deadline - ticket.enqueued).count();
    if (secondsToDeadline <= 0 || expectedCompletionSeconds(ticket) > secondsToDeadline)
        return RefusalReason::DeadlineUnreachable;
    return std::nullopt;
}

double ServiceQueue::expectedWait(const TenantName& tenant) const
{
    if (m_capacity.rate() <= 0)
        return 0;
    const double tenantCost = m_queue.queuedCost(tenant);
    const double weight = m_queue.weight(tenant);
    const double competingWeight = std::max(weight, m_queue.activeWeight() + (tenantCost > 0 ? 0 : weight));
    return std::min(m_queue.queuedCost(), tenantCost * competingWeight / weight) / m_capacity.rate();
}

double ServiceQueue::expectedCompletionSeconds(const Ticket& ticket) const
{
    return expectedWait(ticket.tenant) + ticket.size.outputTokens * m_capacity.secondsPerToken();
}

Duration ServiceQueue::retryAfter(const Ticket& ticket, RefusalReason reason) const
{
    double seconds = 0;
    if (reason == RefusalReason::DeadlineUnreachable)
        seconds = expectedCompletionSeconds(ticket) - std::chrono::duration<double>(*ticket.deadline - ticket.enqueued).count();
    else
        seconds = expectedWait(ticket.tenant) / 2; // By then about half of the tenant's queue has been served.
    const auto wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(seconds, 3600.0)));
    return std::clamp(wait, m_settings.minRetryAfter, m_settings.maxRetryAfter);
}

std::optional<Ticket> ServiceQueue::next(AllowedClasses allowed)
{
    const std::lock_guard lock(m_mutex);
    auto ticket = m_queue.pop(allowed);
    if (ticket)
        removeUsage(*ticket);
    return ticket;
}

void ServiceQueue::requeue(const Ticket& ticket)
{
    const std::lock_guard lock(m_mutex);
    addUsage(ticket);
    m_queue.pushFront(ticket);
}

bool ServiceQueue::cancel(const Ticket& ticket)
{
    const std::lock_guard lock(m_mutex);
    const auto removed = m_queue.remove(ticket.tenant, ticket.id);
    if (removed)
        removeUsage(*removed);
    return removed.has_value();
}

std::vector<std::pair<Ticket, Refusal>> ServiceQueue::expire(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::pair<Ticket, Refusal>> result;
    for (Ticket& ticket : m_queue.removeExpired(now)) {
        removeUsage(ticket);
        const Refusal refusal { RefusalReason::DeadlinePassed, retryAfter(ticket, RefusalReason::DeadlinePassed) };
        result.emplace_back(std::move(ticket), refusal);
    }
    return result;
}

void ServiceQueue::onFinished(const Ticket& ticket, double cost, double outputTokens, Duration runTime, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    m_queue.charge(ticket.tenant, cost - ticket.size.cost);
    m_capacity.onFinished(cost, outputTokens, runTime, m_queue.size() > 0, now);
}

void ServiceQueue::onFailed(const Ticket& ticket, double cost)
{
    const std::lock_guard lock(m_mutex);
    m_queue.charge(ticket.tenant, cost - ticket.size.cost);
}

std::vector<InstanceDemand> ServiceQueue::takeDemands()
{
    const std::lock_guard lock(m_mutex);
    std::vector<InstanceDemand> result;
    for (const TenantDemand& demand : m_queue.takeDemands())
        result.push_back({ demand.tenant, m_queue.weight(demand.tenant), std::max(0.0, demand.localServed), demand.localQueued,
            std::max(0.0, demand.localLongServed), demand.localLongQueued });
    return result;
}

void ServiceQueue::correctCredits(const std::vector<std::vector<InstanceDemand>>& demands, std::size_t self)
{
    std::map<TenantName, TenantDemand> totals;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        for (const InstanceDemand& demand : demands[i]) {
            TenantDemand& total = totals[demand.tenant];
            total.tenant = demand.tenant;
            total.totalServed += demand.served;
            total.totalQueued += demand.queued;
            total.localServed += i == self ? demand.served : 0;
            total.localQueued += i == self ? demand.queued : 0;
        }
    }
    std::vector<TenantDemand> tenantDemands;
    tenantDemands.reserve(totals.size());
    for (const auto& [tenant, total] : totals)
        tenantDemands.push_back(total);
    const std::lock_guard lock(m_mutex);
    m_queue.correctCredits(tenantDemands, demands.size());
}

std::size_t ServiceQueue::queuedCount(WorkClass workClass) const
{
    const std::lock_guard lock(m_mutex);
    return m_queue.size(workClass);
}

void ServiceQueue::addUsage(const Ticket& ticket)
{
    Usage& usage = m_usage[ticket.tenant];
    ++usage.queued;
    usage.bytes += ticket.bytes;
}

void ServiceQueue::removeUsage(const Ticket& ticket)
{
    const auto usage = m_usage.find(ticket.tenant);
    --usage->second.queued;
    usage->second.bytes -= ticket.bytes;
    if (usage->second.queued == 0)
        m_usage.erase(usage);
}

}
