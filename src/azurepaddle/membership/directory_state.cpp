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
    Entry* entry = makeEntry(announcement.id);
    if (entry == nullptr)
        return makeError(DirectoryErrorCode::Full, fmt::format("the directory holds {} endpoints", m_options.maxEndpoints));
    const EndpointAnnouncement& known = entry->announcement;
    if (announcement.incarnation < known.incarnation)
        return makeError(DirectoryErrorCode::Superseded, fmt::format("incarnation {} is known", known.incarnation));
    const bool sameIncarnation = announcement.incarnation == known.incarnation && (entry->record || entry->left);
    if (sameIncarnation && entry->left)
        return makeError(DirectoryErrorCode::Left, fmt::format("the endpoint left under incarnation {}", known.incarnation));
    if (sameIncarnation && announcement.sequence == 0)
        announcement.sequence = known.sequence + 1;
    if (sameIncarnation && announcement.sequence < known.sequence)
        return makeError(DirectoryErrorCode::Superseded, fmt::format("sequence {} is known", known.sequence));
    accept(*entry, std::move(announcement), now + m_options.lease, now, Origin::Local);
    return {};
}

tl::expected<void, DirectoryError> DirectoryState::leave(const EndpointId& id, std::optional<std::uint64_t> incarnation, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const Entry* entry = findEntry(id);
    if (entry == nullptr && !incarnation)
        return makeError(DirectoryErrorCode::Unknown, fmt::format("endpoint {} is not known", id));
    const std::uint64_t leaving = incarnation ? *incarnation : entry->announcement.incarnation;
    if (entry != nullptr && leaving < entry->announcement.incarnation)
        return makeError(DirectoryErrorCode::Superseded, fmt::format("incarnation {} is known", entry->announcement.incarnation));
    markLeft(id, leaving, now);
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
        publish(*entry, now);
}

std::vector<EndpointId> DirectoryState::expire(TimePoint now)
{
    std::vector<EndpointId> expired;
    const std::lock_guard lock(m_mutex);
    for (auto item = m_entries.begin(); item != m_entries.end();) {
        auto& [id, entry] = *item;
        if (entry.listed && entry.expiresAt <= now) {
            expired.push_back(id);
            unlist(entry);
        }
        item = entry.listed || entry.keepUntil > now ? std::next(item) : forget(item);
    }
    std::erase_if(m_peers, [&](const auto& item) { return now - item.second.lastMerge > m_options.retention; });
    std::erase_if(m_subsets, [&](const auto& item) { return now - item.second.lastRequest > m_options.retention; });
    return expired;
}

DirectoryState::EntryMap::iterator DirectoryState::forget(EntryMap::iterator item)
{
    m_log.erase(item->second.version);
    m_handles.erase(item->second.handle);
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
            result.push_back({ entry.record, entry.left, entry.expiresAt - now });
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

DirectoryState::Entry* DirectoryState::makeEntry(const EndpointId& id)
{
    if (Entry* known = findEntry(id))
        return known;
    if (m_entries.size() >= m_options.maxEndpoints)
        return nullptr;
    Entry& entry = m_entries[id];
    entry.announcement.id = id;
    return &entry;
}

void DirectoryState::touch(const EndpointId& id, Entry& entry)
{
    m_log.erase(entry.version);
    entry.version = ++m_version;
    m_log.emplace(entry.version, id);
}

void DirectoryState::accept(Entry& entry, EndpointAnnouncement announcement, TimePoint expiresAt, TimePoint now, Origin origin)
{
    const bool restarted = !entry.record || announcement.incarnation != entry.announcement.incarnation;
    if (entry.listed && announcement.service != entry.announcement.service)
        unlist(entry);
    if (restarted) {
        m_handles.erase(entry.handle);
        entry.handle = m_nextHandle++;
        m_handles.emplace(entry.handle, announcement.id);
        entry.events.clear();
        entry.expiresAt = {};
    }
    touch(announcement.id, entry);
    const std::uint32_t tag = identityTag(announcement);
    if (restarted || tag != entry.tag)
        entry.fullVersion = entry.version;
    if (origin == Origin::Local)
        entry.localVersion = entry.version;
    entry.tag = tag;
    entry.left = false;
    entry.expiresAt = std::max(entry.expiresAt, expiresAt);
    entry.keepUntil = entry.expiresAt + m_options.retention;
    addEvents(entry, std::exchange(announcement.cacheEvents, {}));
    entry.announcement = std::move(announcement);
    publish(entry, now);
}

void DirectoryState::addEvents(Entry& entry, std::vector<CacheEvent> events) const
{
    for (CacheEvent& event : events) {
        if (!entry.events.empty() && event.sequence <= entry.events.back().event.sequence)
            continue;
        entry.events.push_back({ entry.version, std::move(event) });
        if (entry.events.size() > m_options.eventHistory)
            entry.events.pop_front();
    }
}

void DirectoryState::publish(Entry& entry, TimePoint now)
{
    auto record = std::make_shared<EndpointRecord>();
    record->announcement = entry.announcement;
    for (const RecentEvent& recent : entry.events)
        record->announcement.cacheEvents.push_back(recent.event);
    record->updatedAt = now;
    record->draining = isDraining(entry.announcement.id);
    entry.record = std::move(record);
    if (entry.left || entry.expiresAt <= now)
        return;
    if (!std::exchange(entry.listed, true))
        ++m_membershipVersion;
    m_lists.put(entry.record, entry.expiresAt);
}

void DirectoryState::unlist(Entry& entry)
{
    if (!std::exchange(entry.listed, false))
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
    entry.keepUntil = expiresAt + m_options.retention;
    if (entry.listed)
        m_lists.extend(entry.announcement, expiresAt);
    else
        publish(entry, now);
}

void DirectoryState::markLeft(const EndpointId& id, std::uint64_t incarnation, TimePoint now)
{
    Entry* entry = makeEntry(id);
    if (entry == nullptr || incarnation < entry->announcement.incarnation)
        return;
    if (entry->left && incarnation == entry->announcement.incarnation)
        return;
    unlist(*entry);
    touch(id, *entry);
    entry->announcement.incarnation = incarnation;
    entry->left = true;
    entry->keepUntil = now + m_options.retention;
}

}
