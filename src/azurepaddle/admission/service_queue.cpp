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
    if (const auto reason = check(ticket))
        return tl::unexpected(Refusal { *reason, retryAfter(ticket, *reason) });
    enter(ticket);
    m_queue.push(ticket);
    return ticket;
}

std::optional<RefusalReason> ServiceQueue::check(const Ticket& ticket) const
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
    const double available = std::chrono::duration<double>(*ticket.deadline - ticket.enqueued).count();
    if (available <= 0 || expectedSeconds(ticket) > available)
        return RefusalReason::DeadlineUnreachable;
    return std::nullopt;
}

double ServiceQueue::expectedWait(const TenantName& tenant) const
{
    if (m_capacity.rate() <= 0)
        return 0;
    const double own = m_queue.queuedCost(tenant);
    const double weight = m_queue.weight(tenant);
    const double weights = std::max(weight, m_queue.busyWeight() + (own > 0 ? 0 : weight));
    return std::min(m_queue.queuedCost(), own * weights / weight) / m_capacity.rate();
}

double ServiceQueue::expectedSeconds(const Ticket& ticket) const
{
    return expectedWait(ticket.tenant) + ticket.size.outputTokens * m_capacity.secondsPerToken();
}

Duration ServiceQueue::retryAfter(const Ticket& ticket, RefusalReason reason) const
{
    double seconds = 0;
    if (reason == RefusalReason::DeadlineUnreachable)
        seconds = expectedSeconds(ticket) - std::chrono::duration<double>(*ticket.deadline - ticket.enqueued).count();
    else
        seconds = expectedWait(ticket.tenant) / 2; // Half of the queue is empty then.
    const auto wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(seconds, 3600.0)));
    return std::clamp(wait, m_settings.shortestRetry, m_settings.longestRetry);
}

std::optional<Ticket> ServiceQueue::next(AllowedClasses allowed)
{
    const std::lock_guard lock(m_mutex);
    auto ticket = m_queue.pop(allowed);
    if (ticket)
        leave(*ticket);
    return ticket;
}

void ServiceQueue::requeue(const Ticket& ticket)
{
    const std::lock_guard lock(m_mutex);
    enter(ticket);
    m_queue.pushFront(ticket);
}

bool ServiceQueue::cancel(const Ticket& ticket)
{
    const std::lock_guard lock(m_mutex);
    const auto removed = m_queue.remove(ticket.tenant, ticket.id);
    if (removed)
        leave(*removed);
    return removed.has_value();
}

std::vector<std::pair<Ticket, Refusal>> ServiceQueue::expire(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::pair<Ticket, Refusal>> result;
    for (Ticket& ticket : m_queue.removeExpired(now)) {
        leave(ticket);
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
    for (const TenantService& service : m_queue.takeServices())
        result.push_back({ service.tenant, m_queue.weight(service.tenant), std::max(0.0, service.servedHere), service.queuedHere,
            std::max(0.0, service.longServedHere), service.longQueuedHere });
    return result;
}

void ServiceQueue::correctCredits(const std::vector<std::vector<InstanceDemand>>& demands, std::size_t self)
{
    std::map<TenantName, TenantService> totals;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        for (const InstanceDemand& demand : demands[i]) {
            TenantService& total = totals[demand.tenant];
            total.tenant = demand.tenant;
            total.servedEverywhere += demand.served;
            total.queuedEverywhere += demand.queued;
            total.servedHere += i == self ? demand.served : 0;
            total.queuedHere += i == self ? demand.queued : 0;
        }
    }
    std::vector<TenantService> services;
    services.reserve(totals.size());
    for (const auto& [tenant, total] : totals)
        services.push_back(total);
    const std::lock_guard lock(m_mutex);
    m_queue.correctCredits(services, demands.size());
}

std::size_t ServiceQueue::waiting(WorkClass workClass) const
{
    const std::lock_guard lock(m_mutex);
    return m_queue.size(workClass);
}

void ServiceQueue::enter(const Ticket& ticket)
{
    Usage& usage = m_usage[ticket.tenant];
    ++usage.queued;
    usage.bytes += ticket.bytes;
}

void ServiceQueue::leave(const Ticket& ticket)
{
    const auto usage = m_usage.find(ticket.tenant);
    --usage->second.queued;
    usage->second.bytes -= ticket.bytes;
    if (usage->second.queued == 0)
        m_usage.erase(usage);
}

}
