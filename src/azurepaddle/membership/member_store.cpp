#include "azurepaddle/membership/member_store.hpp"

#include <algorithm>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace azurepaddle::membership::internal {

namespace {

    // Beyond this number the oldest changes are dropped. The owner is expected to take them after each call.
    constexpr std::size_t maxChanges = 65536;

    std::uint64_t recordHash(const MemberRecord& record) noexcept
    {
        const std::uint64_t seed = record.incarnation * 31 + record.revision;
        return XXH3_64bits_withSeed(record.id.value().data(), record.id.value().size(), seed);
    }

    bool isPresent(const MemberRecord& record) noexcept
    {
        return record.state() == MemberState::Alive || record.state() == MemberState::Suspect;
    }

}

void UpdateQueue::push(const MemberRecord& record)
{
    std::erase_if(m_items, [&record](const Item& item) { return item.record.id == record.id; });
    m_items.push_back({ record, codec::encode(record).size(), 0 });
}

std::vector<MemberRecord> UpdateQueue::take(std::size_t budget, unsigned maxTransmits)
{
    std::vector<MemberRecord> updates;
    std::stable_sort(m_items.begin(), m_items.end(), [](const Item& left, const Item& right) { return left.transmitCount < right.transmitCount; });
    for (Item& item : m_items) {
        if (item.bytes > budget)
            break;
        budget -= item.bytes;
        ++item.transmitCount;
        updates.push_back(item.record);
    }
    std::erase_if(m_items, [maxTransmits](const Item& item) { return item.transmitCount >= maxTransmits; });
    return updates;
}

void MemberStore::apply(const MemberRecord& record, TimePoint now, bool disseminate)
{
    const auto found = m_members.find(record.id);
    if (found == m_members.end()) {
        // A dead member that was removed here must not be added again from the tables of other members.
        if (!isPresent(record) || record.isStateOnly() || m_members.size() >= m_maxMembers)
            return;
        Member& member = m_members[record.id];
        member.record = record;
        ++m_presentCount;
        return enterState(member, record.state(), now, disseminate);
    }
    Member& member = found->second;
    MemberRecord& known = member.record;
    if (record.incarnation < known.incarnation)
        return;
    const bool isNewIncarnation = record.incarnation > known.incarnation;
    const bool hasNewMetadata = !record.isStateOnly() && (isNewIncarnation || record.revision > known.revision);
    const bool hasNewState = record.stateCode != known.stateCode && (isNewIncarnation || record.stateCode > known.stateCode);
    known.incarnation = record.incarnation;
    if (isNewIncarnation)
        known.revision = 0;
    if (hasNewMetadata) {
        known.metadata = record.metadata;
        known.revision = record.revision;
    }
    if (hasNewState)
        enterState(member, record.state(), now, disseminate);
    else if (hasNewMetadata && disseminate)
        m_queue.push(known);
}

void MemberStore::enterState(Member& member, MemberState state, TimePoint now, bool disseminate)
{
    const bool wasPresent = isPresent(member.record);
    member.record.setState(state);
    member.stateSince = now;
    if (wasPresent && !isPresent(member.record))
        --m_presentCount;
    if (!wasPresent && isPresent(member.record))
        ++m_presentCount;
    const bool isStateOnlyUpdate = state == MemberState::Suspect || state == MemberState::Dead;
    if (disseminate)
        m_queue.push(isStateOnlyUpdate ? member.record.stateOnly() : member.record);
    if (m_changes.size() >= maxChanges)
        m_changes.erase(m_changes.begin());
    m_changes.push_back({ member.record.id, state });
}

void MemberStore::setState(const InstanceId& id, MemberState state, TimePoint now)
{
    const auto found = m_members.find(id);
    if (found != m_members.end() && found->second.record.state() != state)
        enterState(found->second, state, now, true);
}

void MemberStore::expire(TimePoint now, Duration suspicionTimeout, Duration retention)
{
    for (auto item = m_members.begin(); item != m_members.end();) {
        Member& member = item->second;
        if (member.record.state() == MemberState::Suspect && now - member.stateSince >= suspicionTimeout)
            enterState(member, MemberState::Dead, now, true);
        const bool isExpired = !isPresent(member.record) && now - member.stateSince >= retention;
        item = isExpired ? m_members.erase(item) : std::next(item);
    }
}

const MemberStore::Member* MemberStore::find(const InstanceId& id) const
{
    const auto found = m_members.find(id);
    return found == m_members.end() ? nullptr : &found->second;
}

std::vector<InstanceId> MemberStore::idsInState(MemberState state) const
{
    std::vector<InstanceId> ids;
    for (const auto& [id, member] : m_members) {
        if (member.record.state() == state)
            ids.push_back(id);
    }
    return ids;
}

bool MemberStore::isPresentAt(const std::string& peerAddress) const
{
    return std::any_of(m_members.begin(), m_members.end(), [&peerAddress](const auto& item) {
        return isPresent(item.second.record) && item.second.record.metadata.peerAddress == peerAddress;
    });
}

std::uint64_t MemberStore::digest(const MemberRecord& self) const
{
    std::uint64_t combined = recordHash(self);
    for (const auto& [id, member] : m_members) {
        if (isPresent(member.record))
            combined ^= recordHash(member.record);
    }
    return std::max<std::uint64_t>(combined, 1);
}

std::pair<std::vector<MemberRecord>, std::string> MemberStore::page(const std::string& cursor, std::size_t budget) const
{
    std::vector<MemberRecord> records;
    std::size_t bytes = 0;
    for (auto item = m_members.upper_bound(InstanceId(cursor)); item != m_members.end(); ++item) {
        const MemberRecord& record = item->second.record;
        if (!isPresent(record))
            continue;
        bytes += codec::encode(record).size();
        if (bytes > budget && !records.empty())
            return { records, records.back().id.value() };
        records.push_back(record);
    }
    return { records, {} };
}

}
