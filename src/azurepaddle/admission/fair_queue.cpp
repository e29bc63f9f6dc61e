#include "azurepaddle/admission/fair_queue.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace azurepaddle::admission {

namespace {

    std::size_t indexOf(WorkClass workClass) noexcept
    {
        return workClass == WorkClass::Short ? 0 : 1;
    }

}

void FairQueue::setWeight(const TenantName& tenant, double weight)
{
    tenantOf(tenant).weight = weight;
}

void FairQueue::setRunWeight(const TenantName& tenant, const RunName& run, double weight)
{
    tenantOf(tenant).runWeights[run] = weight;
}

FairQueue::Tenant& FairQueue::tenantOf(const TenantName& name)
{
    Tenant& tenant = m_tenants[name];
    if (tenant.name.empty())
        tenant.name = name;
    return tenant;
}

FairQueue::Flow& FairQueue::flowOf(Tenant& tenant, const Ticket& ticket)
{
    const auto [entry, isNew] = tenant.flows.try_emplace({ ticket.run, ticket.size.workClass });
    Flow& flow = entry->second;
    if (!flow.tickets.empty())
        return flow;
    const auto runWeight = tenant.runWeights.find(ticket.run);
    flow.weight = runWeight == tenant.runWeights.end() ? 1 : runWeight->second;
    flow.weight *= ticket.size.workClass == WorkClass::Short ? m_settings.shortWeight : 1;
    // A flow that was idle starts level with the busy ones instead of using up what it missed.
    double lowest = std::numeric_limits<double>::infinity();
    for (const auto& [key, other] : tenant.flows) {
        if (!other.tickets.empty())
            lowest = std::min(lowest, other.served);
    }
    if (std::isfinite(lowest))
        flow.served = std::max(flow.served, lowest);
    return flow;
}

void FairQueue::push(Ticket ticket)
{
    Tenant& tenant = tenantOf(ticket.tenant);
    Flow& flow = flowOf(tenant, ticket);
    count(tenant, ticket, true);
    flow.tickets.push_back(std::move(ticket));
    activate(tenant);
}

void FairQueue::pushFront(Ticket ticket)
{
    Tenant& tenant = tenantOf(ticket.tenant);
    Flow& flow = flowOf(tenant, ticket);
    tenant.deficit += ticket.size.cost;
    tenant.served -= ticket.size.cost;
    tenant.longServed -= ticket.size.workClass == WorkClass::Long ? ticket.size.cost : 0;
    flow.served -= ticket.size.cost / flow.weight;
    count(tenant, ticket, true);
    flow.tickets.push_front(std::move(ticket));
    activate(tenant);
}

void FairQueue::activate(Tenant& tenant)
{
    if (tenant.isActive)
        return;
    tenant.isActive = true;
    m_ring.push_back(&tenant);
}

void FairQueue::count(Tenant& tenant, const Ticket& ticket, bool added) noexcept
{
    std::size_t& byClass = tenant.countByClass[indexOf(ticket.size.workClass)];
    const bool isLong = ticket.size.workClass == WorkClass::Long;
    if (isLong)
        tenant.longQueued = std::max(0.0, tenant.longQueued + (added ? ticket.size.cost : -ticket.size.cost));
    if (added) {
        ++m_size;
        ++tenant.count;
        ++byClass;
        tenant.queued += ticket.size.cost;
    } else {
        --m_size;
        --tenant.count;
        --byClass;
        tenant.queued = tenant.count == 0 ? 0 : tenant.queued - ticket.size.cost;
    }
}

bool FairQueue::isAllowed(const Tenant& tenant, AllowedClasses allowed) noexcept
{
    return (allowed.shortWork && tenant.countByClass[0] > 0) || (allowed.longWork && tenant.countByClass[1] > 0);
}

FairQueue::Flow* FairQueue::nextFlow(Tenant& tenant, AllowedClasses allowed)
{
    Flow* best = nullptr;
    for (auto& [key, flow] : tenant.flows) {
        const bool isOpen = key.workClass == WorkClass::Short ? allowed.shortWork : allowed.longWork;
        if (isOpen && !flow.tickets.empty() && (!best || flow.served < best->served))
            best = &flow;
    }
    return best;
}

std::optional<Ticket> FairQueue::pop(AllowedClasses allowed)
{
    bool hasGranted = false;
    for (auto position = m_ring.begin();;) {
        if (position == m_ring.end()) {
            const auto canPop = [&](const Tenant* tenant) { return isAllowed(*tenant, allowed); };
            if (hasGranted || std::none_of(m_ring.begin(), m_ring.end(), canPop))
                return std::nullopt;
            grantRounds(allowed);
            hasGranted = true;
            position = m_ring.begin();
            continue;
        }
        Tenant& tenant = **position;
        if (tenant.count == 0) {
            tenant.isActive = false;
            clampDeficit(tenant);
            position = m_ring.erase(position);
            continue;
        }
        Flow* flow = nextFlow(tenant, allowed);
        if (flow && tenant.deficit >= flow->tickets.front().size.cost)
            return take(tenant, *flow);
        ++position;
    }
}

Ticket FairQueue::take(Tenant& tenant, Flow& flow)
{
    Ticket ticket = std::move(flow.tickets.front());
    flow.tickets.pop_front();
    tenant.deficit -= ticket.size.cost;
    tenant.served += ticket.size.cost;
    tenant.longServed += ticket.size.workClass == WorkClass::Long ? ticket.size.cost : 0;
    flow.served += ticket.size.cost / flow.weight;
    count(tenant, ticket, false);
    return ticket;
}

double FairQueue::quantumOf(const Tenant& tenant) const noexcept
{
    return m_settings.quantum * tenant.weight * (tenant.localFraction > 0 ? tenant.localFraction : m_defaultFraction);
}

void FairQueue::grantRounds(AllowedClasses allowed)
{
    // All rounds after which the first tenant can be served are granted at once. Only tenants that could be served
    // now take part: credit is not collected by work that waits for a slot of its class.
    double rounds = std::numeric_limits<double>::infinity();
    for (Tenant* tenant : m_ring) {
        const Flow* flow = nextFlow(*tenant, allowed);
        if (!flow)
            continue;
        const double missing = flow->tickets.front().size.cost - tenant->deficit;
        rounds = std::min(rounds, std::ceil(missing / quantumOf(*tenant)));
    }
    for (Tenant* tenant : m_ring) {
        if (isAllowed(*tenant, allowed))
            tenant->deficit += std::max(1.0, rounds) * quantumOf(*tenant);
    }
    // Another tenant starts the next round, so that equal credit is not always used in the same order.
    m_ring.splice(m_ring.end(), m_ring, m_ring.begin());
}

void FairQueue::clampDeficit(Tenant& tenant) const noexcept
{
    tenant.deficit = std::clamp(tenant.deficit, -m_settings.maxDebt * tenant.weight, m_settings.maxBurst * tenant.weight);
}

std::optional<Ticket> FairQueue::remove(const TenantName& name, TicketId id)
{
    const auto tenant = m_tenants.find(name);
    if (tenant == m_tenants.end())
        return std::nullopt;
    for (auto& [key, flow] : tenant->second.flows) {
        const auto found = std::find_if(flow.tickets.begin(), flow.tickets.end(), [id](const Ticket& ticket) { return ticket.id == id; });
        if (found == flow.tickets.end())
            continue;
        Ticket ticket = std::move(*found);
        flow.tickets.erase(found);
        count(tenant->second, ticket, false);
        return ticket;
    }
    return std::nullopt;
}

std::vector<Ticket> FairQueue::removeExpired(TimePoint now)
{
    std::vector<Ticket> result;
    for (auto& [name, tenant] : m_tenants) {
        for (auto& [key, flow] : tenant.flows) {
            const auto isExpired = [now](const Ticket& ticket) { return ticket.deadline && *ticket.deadline <= now; };
            const auto kept = std::stable_partition(flow.tickets.begin(), flow.tickets.end(), [&](const Ticket& ticket) { return !isExpired(ticket); });
            for (auto expired = kept; expired != flow.tickets.end(); ++expired) {
                count(tenant, *expired, false);
                result.push_back(std::move(*expired));
            }
            flow.tickets.erase(kept, flow.tickets.end());
        }
    }
    return result;
}

void FairQueue::charge(const TenantName& name, double cost)
{
    const auto tenant = m_tenants.find(name);
    if (tenant == m_tenants.end())
        return;
    tenant->second.deficit -= cost;
    tenant->second.served += cost;
    clampDeficit(tenant->second);
}

std::size_t FairQueue::size(WorkClass workClass) const noexcept
{
    std::size_t total = 0;
    for (const Tenant* tenant : m_ring)
        total += tenant->countByClass[indexOf(workClass)];
    return total;
}

double FairQueue::queuedCost(const TenantName& name) const
{
    const auto tenant = m_tenants.find(name);
    return tenant == m_tenants.end() ? 0 : tenant->second.queued;
}

double FairQueue::queuedCost() const noexcept
{
    double total = 0;
    for (const Tenant* tenant : m_ring)
        total += tenant->queued;
    return total;
}

double FairQueue::weight(const TenantName& name) const
{
    const auto tenant = m_tenants.find(name);
    return tenant == m_tenants.end() ? 1 : tenant->second.weight;
}

double FairQueue::busyWeight() const noexcept
{
    double total = 0;
    for (const Tenant* tenant : m_ring)
        total += tenant->count > 0 ? tenant->weight : 0;
    return total;
}

}
