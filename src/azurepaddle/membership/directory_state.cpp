#include "azurepaddle/membership/directory_state.hpp"

#include <algorithm>
#include <utility>

namespace azurepaddle::membership::internal {

DirectoryState::DirectoryState(DirectoryOptions options, std::uint64_t epoch)
    : m_options(std::move(options))
    , m_epoch(std::max<std::uint64_t>(epoch, 1))
    , m_lists(m_options.self, m_options.dataCentre)
{
}

tl::expected<void, DirectoryError> DirectoryState::announce(EndpointAnnouncement announcement, TimePoint now)
{
    if (auto checked = checkAnnouncement(announcement); !checked)
        return checked;
    const std::lock_guard lock(m_mutex);
    Entry* entry = findOrCreateEntry(announcement.id);
    if (entry == nullptr)
        return makeError(DirectoryErrorCode::Full, fmt::format("the directory holds {} endpoints", m_options.maxEndpoints));
    const EndpointAnnouncement& known = entry->announcement;
    if (announcement.incarnation < known.incarnation)
        return makeError(DirectoryErrorCode::Superseded, fmt::format("incarnation {} is known", known.incarnation));
    const bool isSameIncarnation = announcement.incarnation == known.incarnation && (entry->record || entry->hasLeft);
    if (isSameIncarnation && entry->hasLeft)
        return makeError(DirectoryErrorCode::Left, fmt::format("the endpoint left under incarnation {}", known.incarnation));
    if (isSameIncarnation && announcement.sequence == 0)
        announcement.sequence = known.sequence + 1;
    if (isSameIncarnation && announcement.sequence < known.sequence)
        return makeError(DirectoryErrorCode::Superseded, fmt::format("sequence {} is known", known.sequence));
    storeAnnouncement(*entry, std::move(announcement), now + m_options.lease, now, Origin::Local);
    return {};
}

tl::expected<void, DirectoryError> DirectoryState::leave(const EndpointId& id, std::optional<std::uint64_t> incarnation, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const Entry* entry = findEntry(id);
    if (entry == nullptr && !incarnation)
        return makeError(DirectoryErrorCode::Unknown, fmt::format("endpoint {} is not known", id));
    const std::uint64_t leftIncarnation = incarnation ? *incarnation : entry->announcement.incarnation;
    if (entry != nullptr && leftIncarnation < entry->announcement.incarnation)
        return makeError(DirectoryErrorCode::Superseded, fmt::format("incarnation {} is known", entry->announcement.incarnation));
    markLeft(id, leftIncarnation, now);
    return {};
}

void DirectoryState::setDraining(const EndpointId& id, bool draining, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const auto known = m_drains.find(id);
    const std::uint64_t revision = known == m_drains.end() ? 1 : known->second.revision + 1;
    applyDrain({ id, draining, revision }, now);
}

void DirectoryState::applyDrain(const DrainDelta& drain, TimePoint now)
{
    if (!m_drains.contains(drain.id) && m_drains.size() >= m_options.maxEndpoints)
        return;
    DrainMark& mark = m_drains[drain.id];
    if (std::pair(drain.revision, drain.draining) <= std::pair(mark.revision, mark.draining))
        return;
    mark = { drain.draining, drain.revision, ++m_version };
    ++m_membershipVersion;
    Entry* entry = findEntry(drain.id);
    if (entry != nullptr && entry->record)
        publishRecord(*entry, now);
}

std::vector<EndpointId> DirectoryState::expire(TimePoint now)
{
    std::vector<EndpointId> expired;
    const std::lock_guard lock(m_mutex);
    for (auto item = m_entries.begin(); item != m_entries.end();) {
        auto& [id, entry] = *item;
        if (entry.isListed && entry.expiresAt <= now) {
            expired.push_back(id);
            removeFromLists(entry);
        }
        item = entry.isListed || entry.retainUntil > now ? std::next(item) : eraseEntry(item);
    }
    std::erase_if(m_peerProgress, [&](const auto& item) { return now - item.second.lastMerge > m_options.retention; });
    std::erase_if(m_subsetProgress, [&](const auto& item) { return now - item.second.lastRequest > m_options.retention; });
    return expired;
}

DirectoryState::EntryMap::iterator DirectoryState::eraseEntry(EntryMap::iterator item)
{
    m_changeLog.erase(item->second.version);
    m_endpointsByHandle.erase(item->second.handle);
    return m_entries.erase(item);
}

CandidateList DirectoryState::candidates(const ServiceName& service, TimePoint now) const
{
    return m_lists.candidates(service, now, m_options.candidateLimit);
}

EndpointPointer DirectoryState::find(const EndpointId& id) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : found->second.record;
}

std::vector<EndpointStatus> DirectoryState::statuses(TimePoint now) const
{
    std::vector<EndpointStatus> result;
    const std::lock_guard lock(m_mutex);
    for (const auto& [id, entry] : m_entries) {
        if (entry.record)
            result.push_back({ entry.record, entry.hasLeft, entry.expiresAt - now });
    }
    return result;
}

std::uint64_t DirectoryState::version() const
{
    const std::lock_guard lock(m_mutex);
    return m_version;
}

DirectoryState::Entry* DirectoryState::findEntry(const EndpointId& id)
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

DirectoryState::Entry* DirectoryState::findOrCreateEntry(const EndpointId& id)
{
    if (Entry* known = findEntry(id))
        return known;
    if (m_entries.size() >= m_options.maxEndpoints)
        return nullptr;
    Entry& entry = m_entries[id];
    entry.announcement.id = id;
    return &entry;
}

void DirectoryState::assignVersion(const EndpointId& id, Entry& entry)
{
    m_changeLog.erase(entry.version);
    entry.version = ++m_version;
    m_changeLog.emplace(entry.version, id);
}

void DirectoryState::storeAnnouncement(Entry& entry, EndpointAnnouncement announcement, TimePoint expiresAt, TimePoint now, Origin origin)
{
    const bool isNewIncarnation = !entry.record || announcement.incarnation != entry.announcement.incarnation;
    if (entry.isListed && announcement.service != entry.announcement.service)
        removeFromLists(entry);
    if (isNewIncarnation) {
        m_endpointsByHandle.erase(entry.handle);
        entry.handle = m_nextHandle++;
        m_endpointsByHandle.emplace(entry.handle, announcement.id);
        entry.events.clear();
        entry.expiresAt = {};
    }
    assignVersion(announcement.id, entry);
    const std::uint32_t hash = hashIdentity(announcement);
    if (isNewIncarnation || hash != entry.identityHash)
        entry.fullVersion = entry.version;
    if (origin == Origin::Local)
        entry.localVersion = entry.version;
    entry.identityHash = hash;
    entry.hasLeft = false;
    entry.expiresAt = std::max(entry.expiresAt, expiresAt);
    entry.retainUntil = entry.expiresAt + m_options.retention;
    appendEvents(entry, std::exchange(announcement.cacheEvents, {}));
    entry.announcement = std::move(announcement);
    publishRecord(entry, now);
}

void DirectoryState::appendEvents(Entry& entry, std::vector<CacheEvent> events) const
{
    for (CacheEvent& event : events) {
        if (!entry.events.empty() && event.sequence <= entry.events.back().event.sequence)
            continue;
        entry.events.push_back({ entry.version, std::move(event) });
        if (entry.events.size() > m_options.eventHistory)
            entry.events.pop_front();
    }
}

void DirectoryState::publishRecord(Entry& entry, TimePoint now)
{
    auto record = std::make_shared<EndpointRecord>();
    record->announcement = entry.announcement;
    for (const RecentEvent& recent : entry.events)
        record->announcement.cacheEvents.push_back(recent.event);
    record->updatedAt = now;
    record->draining = isDraining(entry.announcement.id);
    entry.record = std::move(record);
    if (entry.hasLeft || entry.expiresAt <= now)
        return;
    if (!std::exchange(entry.isListed, true))
        ++m_membershipVersion;
    m_lists.insertOrUpdate(entry.record, entry.expiresAt);
}

void DirectoryState::removeFromLists(Entry& entry)
{
    if (!std::exchange(entry.isListed, false))
        return;
    ++m_membershipVersion;
    m_lists.remove(entry.announcement);
}

bool DirectoryState::isDraining(const EndpointId& id) const
{
    const auto found = m_drains.find(id);
    return found != m_drains.end() && found->second.draining;
}

void DirectoryState::extendLease(Entry& entry, TimePoint expiresAt, TimePoint now)
{
    if (expiresAt <= entry.expiresAt)
        return;
    entry.expiresAt = expiresAt;
    entry.retainUntil = expiresAt + m_options.retention;
    if (entry.isListed)
        m_lists.extendLease(entry.announcement, expiresAt);
    else
        publishRecord(entry, now);
}

void DirectoryState::markLeft(const EndpointId& id, std::uint64_t incarnation, TimePoint now)
{
    Entry* entry = findOrCreateEntry(id);
    if (entry == nullptr || incarnation < entry->announcement.incarnation)
        return;
    if (entry->hasLeft && incarnation == entry->announcement.incarnation)
        return;
    removeFromLists(*entry);
    assignVersion(id, *entry);
    entry->announcement.incarnation = incarnation;
    entry->hasLeft = true;
    entry->retainUntil = now + m_options.retention;
}

}
