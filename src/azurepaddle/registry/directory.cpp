#include "azurepaddle/registry/directory.hpp"

#include <algorithm>

namespace azurepaddle::registry {

namespace {

    // Records in state Gone that are kept; beyond this number the one with the earliest start time is removed.
    // Also the limit of draining notices.
    constexpr std::size_t maxGoneRecords = 512;
    // Removals kept in the change history. A poll whose revision precedes the history gets all records.
    constexpr std::size_t maxRemovalHistory = 512;

}

void Directory::eraseRecord(std::map<EndpointId, EndpointRecord>::iterator record)
{
    m_changeRevisions.erase(record->first);
    removeFromAddressIndex(record->second);
    m_goneCount -= record->second.state == EndpointState::Gone ? 1 : 0;
    m_removals.emplace_back(m_revision, record->first);
    m_records.erase(record);
    if (m_removals.size() <= maxRemovalHistory)
        return;
    m_historyStart = m_removals.front().first;
    m_removals.pop_front();
}

void Directory::evictOldestGone()
{
    if (m_goneCount <= maxGoneRecords)
        return;
    const auto isGone = [](const auto& entry) { return entry.second.state == EndpointState::Gone; };
    auto oldest = m_records.end();
    for (auto entry = m_records.begin(); entry != m_records.end(); ++entry) {
        if (isGone(*entry) && (oldest == m_records.end() || entry->second.startedMs < oldest->second.startedMs))
            oldest = entry;
    }
    eraseRecord(oldest);
}

std::uint64_t Directory::newestChangeOf(const ServiceName& service) const
{
    std::uint64_t newest = m_historyStart;
    for (const auto& [id, changedAt] : m_changeRevisions) {
        if (m_records.at(id).service == service)
            newest = std::max(newest, changedAt);
    }
    return newest;
}

std::optional<DirectoryChanges> Directory::changesSince(std::uint64_t revision) const
{
    if (revision < m_historyStart || revision > m_revision)
        return std::nullopt;
    DirectoryChanges changes;
    for (const auto& [id, changedAt] : m_changeRevisions) {
        if (changedAt > revision)
            changes.changed.push_back(m_records.at(id));
    }
    for (const auto& [removedAt, id] : m_removals) {
        if (removedAt > revision && !m_records.contains(id))
            changes.removed.push_back(id);
    }
    return changes;
}

void Directory::set(const EndpointRecord& record)
{
    const EndpointRecord* existing = find(record.id);
    if (existing && existing->startedMs > record.startedMs)
        return;
    ++m_revision;
    for (const EndpointId& id : m_idsByAddress[record.address()]) {
        EndpointRecord& other = m_records.at(id);
        if (id == record.id || other.state == EndpointState::Gone || other.startedMs > record.startedMs)
            continue;
        markGone(other);
    }
    // An update proposed before the endpoint started to drain may be applied afterwards; it must not reset the state.
    const EndpointState state = existing && existing->startedMs == record.startedMs ? std::max(existing->state, record.state) : record.state;
    EndpointRecord stored = record;
    stored.state = state;
    store(stored);
    m_changeRevisions[record.id] = m_revision;
    evictOldestGone();
}

void Directory::recordVersion(const EndpointIncarnation& incarnation, const batch::ModelName& model, WeightVersion version)
{
    const auto found = m_records.find(incarnation.id);
    if (found == m_records.end() || found->second.startedMs != incarnation.startedMs)
        return;
    WeightVersion& recorded = found->second.versions[model.value()];
    recorded = std::max(recorded, version);
}

/// Inserts or replaces a record and updates the address index and the count of gone records.
void Directory::store(const EndpointRecord& record)
{
    const auto existing = m_records.find(record.id);
    if (existing != m_records.end()) {
        removeFromAddressIndex(existing->second);
        m_goneCount -= existing->second.state == EndpointState::Gone ? 1 : 0;
    }
    m_records[record.id] = record;
    m_idsByAddress[record.address()].insert(record.id);
    m_goneCount += record.state == EndpointState::Gone ? 1 : 0;
}

void Directory::markGone(EndpointRecord& record)
{
    m_goneCount += record.state == EndpointState::Gone ? 0 : 1;
    record.state = EndpointState::Gone;
    m_changeRevisions[record.id] = m_revision;
}

void Directory::removeFromAddressIndex(const EndpointRecord& record)
{
    const auto found = m_idsByAddress.find(record.address());
    found->second.erase(record.id);
    if (found->second.empty())
        m_idsByAddress.erase(found);
}

void Directory::deregister(const EndpointIncarnation& incarnation)
{
    const auto found = m_records.find(incarnation.id);
    if (found == m_records.end() || (incarnation.startedMs != 0 && incarnation.startedMs != found->second.startedMs))
        return;
    ++m_revision;
    markGone(found->second);
    evictOldestGone();
}

void Directory::remove(const EndpointIncarnation& incarnation)
{
    const auto found = m_records.find(incarnation.id);
    if (found == m_records.end() || incarnation.startedMs != found->second.startedMs)
        return;
    ++m_revision;
    eraseRecord(found);
}

const EndpointRecord* Directory::find(const EndpointId& id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second;
}

std::vector<EndpointRecord> Directory::activeEndpointsOf(const std::set<ServiceName>& services) const
{
    std::vector<EndpointRecord> present;
    for (const auto& [id, record] : m_records) {
        if (record.state != EndpointState::Gone && services.contains(record.service))
            present.push_back(record);
    }
    return present;
}

std::optional<EndpointRecord> Directory::recordUpdateFrom(const EndpointRecord& heartbeat) const
{
    const auto sameAddress = m_idsByAddress.find(heartbeat.address());
    const bool isAddressTaken = sameAddress != m_idsByAddress.end() && std::any_of(sameAddress->second.begin(), sameAddress->second.end(), [&](const EndpointId& id) {
        return id != heartbeat.id && m_records.at(id).startedMs > heartbeat.startedMs;
    });
    if (isAddressTaken)
        return std::nullopt;
    const EndpointRecord* existing = find(heartbeat.id);
    if (!existing || heartbeat.startedMs > existing->startedMs)
        return heartbeat;
    if (heartbeat.startedMs < existing->startedMs || existing->state == EndpointState::Gone)
        return std::nullopt;
    // Draining is final for an incarnation: a delayed heartbeat must not make it ready again.
    EndpointRecord changed = heartbeat;
    changed.state = std::max(heartbeat.state, existing->state);
    changed.versions = existing->versions;
    if (changed == *existing)
        return std::nullopt;
    changed.versions = heartbeat.versions;
    return changed;
}

void Directory::restore(const std::vector<EndpointRecord>& records, std::uint64_t revision)
{
    m_records.clear();
    m_idsByAddress.clear();
    m_goneCount = 0;
    for (const EndpointRecord& record : records)
        store(record);
    m_revision = revision;
    m_changeRevisions.clear();
    m_removals.clear();
    m_historyStart = revision;
}

bool Liveness::recordHeartbeat(const HeartbeatStatus& status, TimePoint now)
{
    Entry& entry = m_entries[status.id];
    const bool isStale = status.startedMs < entry.startedMs || (status.startedMs == entry.startedMs && status.sequence < entry.sequence);
    if (isStale)
        return false;
    if (entry.startedMs != status.startedMs)
        entry.versions.clear();
    entry.startedMs = status.startedMs;
    entry.sequence = status.sequence;
    entry.lastHeartbeat = now;
    entry.leavesAt = status.leavesMs ? std::optional(now + std::chrono::milliseconds(*status.leavesMs)) : std::nullopt;
    // Weight versions of an incarnation only increase, and a heartbeat may have been sent before the last order
    // completed.
    for (const auto& [model, version] : status.versions) {
        WeightVersion& existing = entry.versions[model];
        existing = std::max(existing, version);
    }
    return true;
}

void Liveness::recordVersion(const EndpointId& id, const batch::ModelName& model, WeightVersion version)
{
    m_entries[id].versions[model.value()] = version;
}

void Liveness::startTracking(const Directory& directory, TimePoint now)
{
    for (const auto& [id, record] : directory.records()) {
        Entry& entry = m_entries[id];
        if (entry.lastHeartbeat == TimePoint {}) {
            entry.lastHeartbeat = now;
            entry.startedMs = record.startedMs;
            entry.versions = record.versions;
        }
    }
}

const Liveness::Entry* Liveness::find(const EndpointId& id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

WeightVersion Liveness::versionOf(const EndpointRecord& record, const batch::ModelName& model) const
{
    const Entry* entry = find(record.id);
    if (entry && entry->startedMs == record.startedMs) {
        const auto found = entry->versions.find(model.value());
        if (found != entry->versions.end())
            return found->second;
    }
    return record.versionOf(model);
}

void Liveness::recordDraining(const EndpointIncarnation& incarnation)
{
    if (m_drainingIncarnations.size() >= maxGoneRecords && !m_drainingIncarnations.contains(incarnation.id))
        m_drainingIncarnations.erase(std::min_element(m_drainingIncarnations.begin(), m_drainingIncarnations.end(), [](const auto& a, const auto& b) { return a.second < b.second; }));
    m_drainingIncarnations[incarnation.id] = incarnation.startedMs;
}

bool Liveness::isAcceptingWork(const EndpointRecord& record) const
{
    const auto found = m_drainingIncarnations.find(record.id);
    return record.state == EndpointState::Ready && (found == m_drainingIncarnations.end() || found->second != record.startedMs);
}

std::vector<EndpointRecord> Liveness::drainingEndpoints(const Directory& directory) const
{
    std::vector<EndpointRecord> records;
    for (const auto& [id, startedMs] : m_drainingIncarnations) {
        const EndpointRecord* record = directory.find(id);
        if (record && record->state == EndpointState::Ready && record->startedMs == startedMs)
            records.push_back(*record);
    }
    return records;
}

std::vector<EndpointIncarnation> Liveness::timedOut(const Directory& directory, TimePoint now, Duration limit) const
{
    std::vector<EndpointIncarnation> timedOut;
    for (const auto& [id, record] : directory.records()) {
        const Entry* entry = find(id);
        if (record.state != EndpointState::Gone && entry && now - entry->lastHeartbeat > limit)
            timedOut.push_back({ id, record.startedMs });
    }
    return timedOut;
}

}
