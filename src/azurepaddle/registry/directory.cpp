#include "azurepaddle/registry/directory.hpp"

#include <algorithm>

namespace azurepaddle::registry {

namespace {

    // Records of endpoints that left, beyond which the oldest are forgotten.
    constexpr std::size_t maxGoneRecords = 512;
    // Removals that are known one by one; a poll that missed more gets all records.
    constexpr std::size_t maxKnownRemovals = 512;

}

void Directory::remove(std::map<EndpointId, EndpointRecord>::iterator record)
{
    m_changedAt.erase(record->first);
    forgetAddress(record->second);
    m_gone -= record->second.state == EndpointState::Gone ? 1 : 0;
    m_removed.emplace_back(m_revision, record->first);
    m_records.erase(record);
    if (m_removed.size() <= maxKnownRemovals)
        return;
    m_firstKnown = m_removed.front().first;
    m_removed.pop_front();
}

void Directory::trimGone()
{
    if (m_gone <= maxGoneRecords)
        return;
    const auto isGone = [](const auto& entry) { return entry.second.state == EndpointState::Gone; };
    auto oldest = m_records.end();
    for (auto entry = m_records.begin(); entry != m_records.end(); ++entry) {
        if (isGone(*entry) && (oldest == m_records.end() || entry->second.startedMs < oldest->second.startedMs))
            oldest = entry;
    }
    remove(oldest);
}

std::optional<DirectoryChanges> Directory::changesSince(std::uint64_t revision) const
{
    if (revision < m_firstKnown || revision > m_revision)
        return std::nullopt;
    DirectoryChanges changes;
    for (const auto& [id, changedAt] : m_changedAt) {
        if (changedAt > revision)
            changes.changed.push_back(m_records.at(id));
    }
    for (const auto& [removedAt, id] : m_removed) {
        if (removedAt > revision && !m_records.contains(id))
            changes.removed.push_back(id);
    }
    return changes;
}

void Directory::set(const EndpointRecord& record)
{
    const EndpointRecord* known = find(record.id);
    if (known && known->startedMs > record.startedMs)
        return;
    ++m_revision;
    for (const EndpointId& id : m_atAddress[record.address()]) {
        EndpointRecord& other = m_records.at(id);
        if (id == record.id || other.state == EndpointState::Gone || other.startedMs > record.startedMs)
            continue;
        markGone(other);
    }
    // A change that was proposed before the endpoint began to leave may be applied after it.
    const EndpointState state = known && known->startedMs == record.startedMs ? std::max(known->state, record.state) : record.state;
    EndpointRecord stored = record;
    stored.state = state;
    store(stored);
    m_changedAt[record.id] = m_revision;
    trimGone();
}

/// Replaces a record, and keeps what is derived from it.
void Directory::store(const EndpointRecord& record)
{
    const auto known = m_records.find(record.id);
    if (known != m_records.end()) {
        forgetAddress(known->second);
        m_gone -= known->second.state == EndpointState::Gone ? 1 : 0;
    }
    m_records[record.id] = record;
    m_atAddress[record.address()].insert(record.id);
    m_gone += record.state == EndpointState::Gone ? 1 : 0;
}

void Directory::markGone(EndpointRecord& record)
{
    m_gone += record.state == EndpointState::Gone ? 0 : 1;
    record.state = EndpointState::Gone;
    m_changedAt[record.id] = m_revision;
}

void Directory::forgetAddress(const EndpointRecord& record)
{
    const auto found = m_atAddress.find(record.address());
    found->second.erase(record.id);
    if (found->second.empty())
        m_atAddress.erase(found);
}

void Directory::leave(const EndpointIncarnation& leave)
{
    const auto found = m_records.find(leave.id);
    if (found == m_records.end() || (leave.startedMs != 0 && leave.startedMs != found->second.startedMs))
        return;
    ++m_revision;
    markGone(found->second);
    trimGone();
}

void Directory::forget(const EndpointIncarnation& leave)
{
    const auto found = m_records.find(leave.id);
    if (found == m_records.end() || leave.startedMs != found->second.startedMs)
        return;
    ++m_revision;
    remove(found);
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

std::optional<EndpointRecord> Directory::changeBy(const EndpointRecord& beat) const
{
    const auto others = m_atAddress.find(beat.address());
    const bool isAddressTaken = others != m_atAddress.end() && std::any_of(others->second.begin(), others->second.end(), [&](const EndpointId& id) {
        return id != beat.id && m_records.at(id).startedMs > beat.startedMs;
    });
    if (isAddressTaken)
        return std::nullopt;
    const EndpointRecord* known = find(beat.id);
    if (!known || beat.startedMs > known->startedMs)
        return beat;
    if (beat.startedMs < known->startedMs || known->state == EndpointState::Gone)
        return std::nullopt;
    // Draining is final for an incarnation: a late heartbeat must not make it ready again.
    EndpointRecord changed = beat;
    changed.state = std::max(beat.state, known->state);
    changed.versions = known->versions;
    if (changed == *known)
        return std::nullopt;
    changed.versions = beat.versions;
    return changed;
}

void Directory::restore(const std::vector<EndpointRecord>& records, std::uint64_t revision)
{
    m_records.clear();
    m_atAddress.clear();
    m_gone = 0;
    for (const EndpointRecord& record : records)
        store(record);
    m_revision = revision;
    m_changedAt.clear();
    m_removed.clear();
    m_firstKnown = revision;
}

bool Liveness::recordHeartbeat(const HeartbeatStatus& beat, TimePoint now)
{
    Entry& entry = m_entries[beat.id];
    const bool isOld = beat.startedMs < entry.startedMs || (beat.startedMs == entry.startedMs && beat.sequence < entry.sequence);
    if (isOld)
        return false;
    if (entry.startedMs != beat.startedMs)
        entry.versions.clear();
    entry.startedMs = beat.startedMs;
    entry.sequence = beat.sequence;
    entry.lastBeat = now;
    // The versions of an incarnation only rise, and a heartbeat may be older than an order that was carried out.
    for (const auto& [model, version] : beat.versions) {
        WeightVersion& known = entry.versions[model];
        known = std::max(known, version);
    }
    return true;
}

void Liveness::recordVersion(const EndpointId& id, const batch::ModelName& model, WeightVersion version)
{
    m_entries[id].versions[model.value()] = version;
}

void Liveness::expect(const Directory& directory, TimePoint now)
{
    for (const auto& [id, record] : directory.records()) {
        Entry& entry = m_entries[id];
        if (entry.lastBeat == TimePoint {}) {
            entry.lastBeat = now;
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

void Liveness::recordDraining(const EndpointIncarnation& leave)
{
    if (m_leaving.size() >= maxGoneRecords && !m_leaving.contains(leave.id))
        m_leaving.erase(std::min_element(m_leaving.begin(), m_leaving.end(), [](const auto& a, const auto& b) { return a.second < b.second; }));
    m_leaving[leave.id] = leave.startedMs;
}

bool Liveness::isAcceptingWork(const EndpointRecord& record) const
{
    const auto found = m_leaving.find(record.id);
    return record.state == EndpointState::Ready && (found == m_leaving.end() || found->second != record.startedMs);
}

std::vector<EndpointRecord> Liveness::leaving(const Directory& directory) const
{
    std::vector<EndpointRecord> records;
    for (const auto& [id, startedMs] : m_leaving) {
        const EndpointRecord* record = directory.find(id);
        if (record && record->state == EndpointState::Ready && record->startedMs == startedMs)
            records.push_back(*record);
    }
    return records;
}

std::vector<EndpointIncarnation> Liveness::silent(const Directory& directory, TimePoint now, Duration limit) const
{
    std::vector<EndpointIncarnation> silent;
    for (const auto& [id, record] : directory.records()) {
        const Entry* entry = find(id);
        if (record.state != EndpointState::Gone && entry && now - entry->lastBeat > limit)
            silent.push_back({ id, record.startedMs });
    }
    return silent;
}

}
