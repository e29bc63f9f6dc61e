#include "azurepaddle/membership/member_store.hpp"

#include <algorithm>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace azurepaddle::membership::internal {

namespace {

    // More are dropped, oldest first; the owner is expected to take them after each call.
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
    std::vector<MemberRecord> taken;
    std::stable_sort(m_items.begin(), m_items.end(), [](const Item& left, const Item& right) { return left.transmits < right.transmits; });
    for (Item& item : m_items) {
        if (item.bytes > budget)
            break;
        budget -= item.bytes;
        ++item.transmits;
        taken.push_back(item.record);
    }
    std::erase_if(m_items, [maxTransmits](const Item& item) { return item.transmits >= maxTransmits; });
    return taken;
}

void MemberStore::apply(const MemberRecord& record, TimePoint now, bool spread)
{
    const auto found = m_members.find(record.id);
    if (found == m_members.end()) {
        // A dead member that was forgotten must not return from the memory of others.
        if (!isPresent(record) || record.isStateOnly() || m_members.size() >= m_maxMembers)
            return;
        Member& member = m_members[record.id];
        member.record = record;
        ++m_present;
        return enter(member, record.state(), now, spread);
    }
    Member& member = found->second;
    MemberRecord& known = member.record;
    if (record.incarnation < known.incarnation)
        return;
    const bool newIncarnation = record.incarnation > known.incarnation;
    const bool newMetadata = !record.isStateOnly() && (newIncarnation || record.revision > known.revision);
    const bool newState = record.stateCode != known.stateCode && (newIncarnation || record.stateCode > known.stateCode);
    known.incarnation = record.incarnation;
    if (newIncarnation)
        known.revision = 0;
    if (newMetadata) {
        known.metadata = record.metadata;
        known.revision = record.revision;
    }
    if (newState)
        enter(member, record.state(), now, spread);
    else if (newMetadata && spread)
        m_queue.push(known);
}

void MemberStore::enter(Member& member, MemberState state, TimePoint now, bool spread)
{
    const bool wasPresent = isPresent(member.record);
    member.record.setState(state);
    member.since = now;
    if (wasPresent && !isPresent(member.record))
        --m_present;
    if (!wasPresent && isPresent(member.record))
        ++m_present;
    const bool isKnownToAll = state == MemberState::Suspect || state == MemberState::Dead;
    if (spread)
        m_queue.push(isKnownToAll ? member.record.stateOnly() : member.record);
    if (m_changes.size() >= maxChanges)
        m_changes.erase(m_changes.begin());
    m_changes.push_back({ member.record.id, state });
}

void MemberStore::setState(const InstanceId& id, MemberState state, TimePoint now)
{
    const auto found = m_members.find(id);
    if (found != m_members.end() && found->second.record.state() != state)
        enter(found->second, state, now, true);
}

void MemberStore::age(TimePoint now, Duration suspicion, Duration retention)
{
    for (auto item = m_members.begin(); item != m_members.end();) {
        Member& member = item->second;
        if (member.record.state() == MemberState::Suspect && now - member.since >= suspicion)
            enter(member, MemberState::Dead, now, true);
        const bool forget = !isPresent(member.record) && now - member.since >= retention;
        item = forget ? m_members.erase(item) : std::next(item);
    }
}

const MemberStore::Member* MemberStore::find(const InstanceId& id) const
{
    const auto found = m_members.find(id);
    return found == m_members.end() ? nullptr : &found->second;
}

std::vector<InstanceId> MemberStore::inState(MemberState state) const
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
    std::uint64_t sum = recordHash(self);
    for (const auto& [id, member] : m_members) {
        if (isPresent(member.record))
            sum ^= recordHash(member.record);
    }
    return std::max<std::uint64_t>(sum, 1);
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
