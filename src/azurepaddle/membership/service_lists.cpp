#include "azurepaddle/membership/service_lists.hpp"

#include <algorithm>
#include <mutex>

namespace azurepaddle::membership::internal {

ServiceLists::Rank ServiceLists::rankOf(const EndpointAnnouncement& announcement) const
{
    const bool foreign = announcement.dataCentre != m_dataCentre;
    return { foreign, ~rendezvousScore(m_self, announcement.id), announcement.id };
}

std::vector<ServiceLists::Slot>::iterator ServiceLists::find(std::vector<Slot>& slots, const Rank& rank)
{
    return std::lower_bound(slots.begin(), slots.end(), rank, [](const Slot& slot, const Rank& wanted) { return slot.rank < wanted; });
}

void ServiceLists::put(const EndpointPointer& record, TimePoint expiresAt)
{
    Rank rank = rankOf(record->announcement);
    Shard& shard = shardOf(record->announcement.service);
    const std::unique_lock lock(shard.mutex);
    std::vector<Slot>& slots = shard.services[record->announcement.service];
    const auto found = find(slots, rank);
    if (found != slots.end() && found->rank == rank) {
        found->record = record;
        found->expiresAt = expiresAt;
        return;
    }
    slots.insert(found, Slot { std::move(rank), record, expiresAt });
}

void ServiceLists::extend(const EndpointAnnouncement& announcement, TimePoint expiresAt)
{
    const Rank rank = rankOf(announcement);
    Shard& shard = shardOf(announcement.service);
    const std::unique_lock lock(shard.mutex);
    std::vector<Slot>& slots = shard.services[announcement.service];
    const auto found = find(slots, rank);
    if (found != slots.end() && found->rank == rank)
        found->expiresAt = expiresAt;
}

void ServiceLists::remove(const EndpointAnnouncement& announcement)
{
    const Rank rank = rankOf(announcement);
    Shard& shard = shardOf(announcement.service);
    const std::unique_lock lock(shard.mutex);
    const auto service = shard.services.find(announcement.service);
    if (service == shard.services.end())
        return;
    const auto found = find(service->second, rank);
    if (found != service->second.end() && found->rank == rank)
        service->second.erase(found);
    if (service->second.empty())
        shard.services.erase(service);
}

CandidateList ServiceLists::candidates(const ServiceName& service, TimePoint now, std::size_t limit) const
{
    CandidateList result;
    const Shard& shard = shardOf(service);
    const std::shared_lock lock(shard.mutex);
    const auto found = shard.services.find(service);
    if (found == shard.services.end())
        return result;
    result.reserve(std::min(limit, found->second.size()));
    for (const Slot& slot : found->second) {
        if (result.size() == limit)
            break;
        if (slot.expiresAt > now && !slot.record->draining)
            result.push_back(slot.record);
    }
    return result;
}

}
