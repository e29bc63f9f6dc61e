#include "azurepaddle/membership/service_lists.hpp"

#include <algorithm>
#include <mutex>

namespace azurepaddle::membership::internal {

ServiceLists::Rank ServiceLists::rankOf(const EndpointAnnouncement& announcement) const
{
    const bool isRemote = announcement.dataCentre != m_dataCentre;
    return { isRemote, ~rendezvousScore(m_self, announcement.id), announcement.id };
}

std::vector<ServiceLists::RankedEndpoint>::iterator ServiceLists::findRanked(std::vector<RankedEndpoint>& endpoints, const Rank& rank)
{
    return std::lower_bound(endpoints.begin(), endpoints.end(), rank, [](const RankedEndpoint& endpoint, const Rank& target) { return endpoint.rank < target; });
}

void ServiceLists::insertOrUpdate(const EndpointPointer& record, TimePoint expiresAt)
{
    Rank rank = rankOf(record->announcement);
    Shard& shard = shardOf(record->announcement.service);
    const std::unique_lock lock(shard.mutex);
    std::vector<RankedEndpoint>& endpoints = shard.services[record->announcement.service];
    const auto found = findRanked(endpoints, rank);
    if (found != endpoints.end() && found->rank == rank) {
        found->record = record;
        found->expiresAt = expiresAt;
        return;
    }
    endpoints.insert(found, RankedEndpoint { std::move(rank), record, expiresAt });
}

void ServiceLists::extendLease(const EndpointAnnouncement& announcement, TimePoint expiresAt)
{
    const Rank rank = rankOf(announcement);
    Shard& shard = shardOf(announcement.service);
    const std::unique_lock lock(shard.mutex);
    std::vector<RankedEndpoint>& endpoints = shard.services[announcement.service];
    const auto found = findRanked(endpoints, rank);
    if (found != endpoints.end() && found->rank == rank)
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
    const auto found = findRanked(service->second, rank);
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
    for (const RankedEndpoint& endpoint : found->second) {
        if (result.size() == limit)
            break;
        if (endpoint.expiresAt > now && !endpoint.record->draining)
            result.push_back(endpoint.record);
    }
    return result;
}

}
