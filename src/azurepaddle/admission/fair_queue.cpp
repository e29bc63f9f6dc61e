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
    // A flow that was idle starts at the level of the active flows, so that it does not catch up on the service that it
    // did not request meanwhile.
    double lowestServed = std::numeric_limits<double>::infinity();
    for (const auto& [key, other] : tenant.flows) {
        if (!other.tickets.empty())
            lowestServed = std::min(lowestServed, other.normalisedServed);
    }
    if (std::isfinite(lowestServed))
        flow.normalisedServed = std::max(flow.normalisedServed, lowestServed);
    return flow;
}

void FairQueue::push(Ticket ticket)
{
    Tenant& tenant = tenantOf(ticket.tenant);
    Flow& flow = flowOf(tenant, ticket);
    updateCounters(tenant, ticket, true);
    flow.tickets.push_back(std::move(ticket));
    activate(tenant);
}

void FairQueue::pushFront(Ticket ticket)
{
    Tenant& tenant = tenantOf(ticket.tenant);
    Flow& flow = flowOf(tenant, ticket);
    tenant.deficit += ticket.size.cost;
    tenant.servedCost -= ticket.size.cost;
    tenant.longServedCost -= ticket.size.workClass == WorkClass::Long ? ticket.size.cost : 0;
    flow.normalisedServed -= ticket.size.cost / flow.weight;
    updateCounters(tenant, ticket, true);
    flow.tickets.push_front(std::move(ticket));
    activate(tenant);
}

void FairQueue::activate(Tenant& tenant)
{
    if (tenant.isActive)
        return;
    tenant.isActive = true;
    m_activeTenants.push_back(&tenant);
}

void FairQueue::updateCounters(Tenant& tenant, const Ticket& ticket, bool isAdded) noexcept
{
    std::size_t& byClass = tenant.queuedCountByClass[indexOf(ticket.size.workClass)];
    const bool isLong = ticket.size.workClass == WorkClass::Long;
    if (isLong)
        tenant.longQueuedCost = std::max(0.0, tenant.longQueuedCost + (isAdded ? ticket.size.cost : -ticket.size.cost));
    if (isAdded) {
        ++m_size;
        ++tenant.queuedCount;
        ++byClass;
        tenant.queuedCost += ticket.size.cost;
    } else {
        --m_size;
        --tenant.queuedCount;
        --byClass;
        tenant.queuedCost = tenant.queuedCount == 0 ? 0 : tenant.queuedCost - ticket.size.cost;
    }
}

bool FairQueue::hasAllowedTicket(const Tenant& tenant, AllowedClasses allowed) noexcept
{
    return (allowed.shortWork && tenant.queuedCountByClass[0] > 0) || (allowed.longWork && tenant.queuedCountByClass[1] > 0);
}

FairQueue::Flow* FairQueue::nextFlow(Tenant& tenant, AllowedClasses allowed)
{
    Flow* best = nullptr;
    for (auto& [key, flow] : tenant.flows) {
        const bool isClassAllowed = key.workClass == WorkClass::Short ? allowed.shortWork : allowed.longWork;
        if (isClassAllowed && !flow.tickets.empty() && (!best || flow.normalisedServed < best->normalisedServed))
            best = &flow;
    }
    return best;
}

std::optional<Ticket> FairQueue::pop(AllowedClasses allowed)
{
    bool hasGrantedCredit = false;
    for (auto position = m_activeTenants.begin();;) {
        if (position == m_activeTenants.end()) {
            const auto canPop = [&](const Tenant* tenant) { return hasAllowedTicket(*tenant, allowed); };
            if (hasGrantedCredit || std::none_of(m_activeTenants.begin(), m_activeTenants.end(), canPop))
                return std::nullopt;
            grantCredit(allowed);
            hasGrantedCredit = true;
            position = m_activeTenants.begin();
            continue;
        }
        Tenant& tenant = **position;
        if (tenant.queuedCount == 0) {
            tenant.isActive = false;
            clampDeficit(tenant);
            position = m_activeTenants.erase(position);
            continue;
        }
        Flow* flow = nextFlow(tenant, allowed);
        if (flow && tenant.deficit >= flow->tickets.front().size.cost)
            return dequeue(tenant, *flow);
        ++position;
    }
}

Ticket FairQueue::dequeue(Tenant& tenant, Flow& flow)
{
    Ticket ticket = std::move(flow.tickets.front());
    flow.tickets.pop_front();
    tenant.deficit -= ticket.size.cost;
    tenant.servedCost += ticket.size.cost;
    tenant.longServedCost += ticket.size.workClass == WorkClass::Long ? ticket.size.cost : 0;
    flow.normalisedServed += ticket.size.cost / flow.weight;
    updateCounters(tenant, ticket, false);
    return ticket;
}

double FairQueue::quantumOf(const Tenant& tenant) const noexcept
{
    return m_settings.quantum * tenant.weight * (tenant.localFraction > 0 ? tenant.localFraction : m_defaultLocalFraction);
}

void FairQueue::grantCredit(AllowedClasses allowed)
{
    // As many rounds are granted at once as the first tenant to be served needs. Only tenants with a ticket of an
    // allowed class take part, so that work waiting for a slot of its class does not accumulate credit.
    double rounds = std::numeric_limits<double>::infinity();
    for (Tenant* tenant : m_activeTenants) {
        const Flow* flow = nextFlow(*tenant, allowed);
        if (!flow)
            continue;
        const double missingCredit = flow->tickets.front().size.cost - tenant->deficit;
        rounds = std::min(rounds, std::ceil(missingCredit / quantumOf(*tenant)));
    }
    for (Tenant* tenant : m_activeTenants) {
        if (hasAllowedTicket(*tenant, allowed))
            tenant->deficit += std::max(1.0, rounds) * quantumOf(*tenant);
    }
    // The next round starts with another tenant, so that tenants with equal credit are not always served in the same
    // order.
    m_activeTenants.splice(m_activeTenants.end(), m_activeTenants, m_activeTenants.begin());
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
        updateCounters(tenant->second, ticket, false);
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
                updateCounters(tenant, *expired, false);
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
    tenant->second.servedCost += cost;
    clampDeficit(tenant->second);
}

std::size_t FairQueue::size(WorkClass workClass) const noexcept
{
    std::size_t total = 0;
    for (const Tenant* tenant : m_activeTenants)
        total += tenant->queuedCountByClass[indexOf(workClass)];
    return total;
}

double FairQueue::queuedCost(const TenantName& name) const
{
    const auto tenant = m_tenants.find(name);
    return tenant == m_tenants.end() ? 0 : tenant->second.queuedCost;
}

double FairQueue::queuedCost() const noexcept
{
    double total = 0;
    for (const Tenant* tenant : m_activeTenants)
        total += tenant->queuedCost;
    return total;
}

double FairQueue::weight(const TenantName& name) const
{
    const auto tenant = m_tenants.find(name);
    return tenant == m_tenants.end() ? 1 : tenant->second.weight;
}

double FairQueue::activeWeight() const noexcept
{
    double total = 0;
    for (const Tenant* tenant : m_activeTenants)
        total += tenant->queuedCount > 0 ? tenant->weight : 0;
    return total;
}

}
