#include "azurepaddle/registry/nearest_store.hpp"

#include <algorithm>

namespace azurepaddle::registry {

namespace {

    constexpr Duration minCooldown = std::chrono::seconds(2);
    constexpr unsigned maxCooldownDoublings = 3;

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

/// Order of preference by data centre. The member with the lowest rank is polled first.
int NearestStore::rankOf(const Member& member) const
{
    const bool isCurrent = m_current == member.address;
    if (member.dataCentre == m_ownDataCentre)
        return isCurrent ? 0 : 1;
    if (!member.dataCentre)
        return 2;
    return isCurrent ? 3 : 4;
}

/// Whether the first member is polled rather than the second. While a member answers, one that failed is not polled
/// within its cooldown. While none answers, those that failed least often come first, whatever their cooldown.
bool NearestStore::isBefore(const Member& first, const Member& second, TimePoint now) const
{
    const bool isFirstAvoided = now < first.avoidUntil;
    const bool isSecondAvoided = now < second.avoidUntil;
    if (m_current && isFirstAvoided != isSecondAvoided)
        return isSecondAvoided;
    if (!m_current && first.consecutiveFailures != second.consecutiveFailures)
        return first.consecutiveFailures < second.consecutiveFailures;
    return rankOf(first) < rankOf(second);
}

std::optional<InstanceAddress> NearestStore::choose(TimePoint now)
{
    const Member* best = nullptr;
    for (std::size_t index = 0; index < m_members.size(); ++index) {
        const Member& member = m_members[(m_startIndex + index) % m_members.size()];
        if (!best || isBefore(member, *best, now))
            best = &member;
    }
    return best ? std::optional(best->address) : std::nullopt;
}

void NearestStore::recordSuccess(const InstanceAddress& address, const DataCentreName& dataCentre)
{
    m_current = address;
    // Failures of an outage that is over must not delay the polls of the others in the next one.
    for (Member& member : m_members)
        member.consecutiveFailures = 0;
    if (Member* member = find(address)) {
        member->dataCentre = dataCentre;
        member->failedRetries = 0;
        member->avoidUntil = {};
    }
}

void NearestStore::recordFailure(const InstanceAddress& address, TimePoint now)
{
    if (m_current == address)
        m_current.reset();
    Member* member = find(address);
    if (!member)
        return;
    ++member->consecutiveFailures;
    member->failedRetries += m_current ? 1 : 0;
    member->avoidUntil = now + minCooldown * (1U << std::min(member->failedRetries, maxCooldownDoublings));
}

}
