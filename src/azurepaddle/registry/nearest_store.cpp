#include "azurepaddle/registry/nearest_store.hpp"

#include <algorithm>

namespace azurepaddle::registry {

namespace {

    constexpr Duration failureCooldown = std::chrono::seconds(2);

}

void NearestStore::setMembers(const std::vector<InstanceAddress>& members)
{
    if (members.empty())
        return;
    std::vector<Member> updated;
    for (const InstanceAddress& address : members) {
        // A store that lost its disk is listed twice: as its silent voter and as the learner that replaces it.
        if (std::any_of(updated.begin(), updated.end(), [&](const Member& other) { return other.address == address; }))
            continue;
        const Member* member = find(address);
        updated.push_back(member ? *member : Member { address, std::nullopt });
    }
    m_members = std::move(updated);
}

void NearestStore::add(const InstanceAddress& address)
{
    if (!find(address))
        m_members.push_back({ address, std::nullopt });
}

NearestStore::Member* NearestStore::find(const InstanceAddress& address)
{
    const auto found = std::find_if(m_members.begin(), m_members.end(), [&](const Member& member) { return member.address == address; });
    return found == m_members.end() ? nullptr : &*found;
}

/// The member with the lowest rank is polled first.
int NearestStore::rankOf(const Member& member, TimePoint now) const
{
    const bool isLocal = member.dataCentre == m_ownDataCentre;
    const bool isCurrent = m_current == member.address;
    if (now < member.avoidUntil)
        return 5;
    if (isLocal)
        return isCurrent ? 0 : 1;
    if (!member.dataCentre)
        return 2;
    return isCurrent ? 3 : 4;
}

std::optional<InstanceAddress> NearestStore::choose(TimePoint now)
{
    const Member* best = nullptr;
    for (std::size_t index = 0; index < m_members.size(); ++index) {
        const Member& member = m_members[(m_startIndex + index) % m_members.size()];
        if (!best || rankOf(member, now) < rankOf(*best, now))
            best = &member;
    }
    return best ? std::optional(best->address) : std::nullopt;
}

void NearestStore::recordSuccess(const InstanceAddress& address, const DataCentreName& dataCentre)
{
    m_current = address;
    if (Member* member = find(address)) {
        member->dataCentre = dataCentre;
        member->avoidUntil = {};
    }
}

void NearestStore::recordFailure(const InstanceAddress& address, TimePoint now)
{
    if (Member* member = find(address))
        member->avoidUntil = now + failureCooldown;
}

}
