#include "azurepaddle/membership/directory_state.hpp"

#include <algorithm>
#include <utility>

// The part of DirectoryState that exchanges changes between directories.
namespace azurepaddle::membership::internal {

namespace {

    constexpr std::size_t maxMissingHandles = 4096;
    constexpr std::size_t maxSubsetRequesters = 4096; ///< Requesters of subsets that are tracked at the same time.
    // Encoded sizes without strings and hashes, rounded up. Estimates suffice, as a batch may exceed its bound
    // slightly.
    constexpr std::size_t fullDeltaBytes = 100;
    constexpr std::size_t renewalDeltaBytes = 40;
    constexpr std::size_t hashBytes = 9;

    std::size_t eventBytes(const std::vector<CacheEvent>& events)
    {
        std::size_t bytes = 0;
        for (const CacheEvent& event : events)
            bytes += 2 * hashBytes + hashBytes * (event.stored.size() + event.dropped.size());
        return bytes;
    }

    std::size_t announcementBytes(const EndpointAnnouncement& announcement)
    {
        std::size_t bytes = fullDeltaBytes + announcement.id.value().size() + announcement.address.size()
            + announcement.service.value().size() + announcement.dataCentre.value().size() + hashBytes * announcement.versions.size();
        for (const std::string& adapter : announcement.adapters)
            bytes += adapter.size() + 2;
        return bytes + eventBytes(announcement.cacheEvents);
    }

    std::uint32_t toMilliseconds(Duration duration) noexcept
    {
        return static_cast<std::uint32_t>(std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()));
    }

}

/// Builds the answer to one request.
struct DirectoryState::BatchWriter {
    DeltaBatch batch;
    TimePoint now;
    std::size_t maxBytes = 0;
    std::size_t bytes = 0;

    [[nodiscard]] bool isFull() const noexcept { return bytes >= maxBytes; }

    static std::vector<CacheEvent> eventsSince(const Entry& entry, std::uint64_t sinceVersion)
    {
        std::vector<CacheEvent> events;
        for (const RecentEvent& recent : entry.events) {
            if (recent.version > sinceVersion)
                events.push_back(recent.event);
        }
        return events;
    }

    void addLeave(const Entry& entry)
    {
        batch.leaves.push_back({ entry.announcement.id, entry.announcement.incarnation });
        bytes += hashBytes + entry.announcement.id.value().size();
    }

    void addFull(const Entry& entry)
    {
        FullDelta delta { entry.handle, toMilliseconds(entry.expiresAt - now), entry.announcement };
        delta.announcement.cacheEvents = eventsSince(entry, 0);
        bytes += announcementBytes(delta.announcement);
        batch.fullAnnouncements.push_back(std::move(delta));
    }

    void addRenewal(const Entry& entry)
    {
        const EndpointAnnouncement& announcement = entry.announcement;
        if (batch.reportBaseMs == 0)
            batch.reportBaseMs = announcement.reportTimeMs;
        RenewalDelta delta;
        delta.handle = entry.handle;
        delta.leaseMs = toMilliseconds(entry.expiresAt - now);
        delta.identityHash = entry.identityHash;
        delta.sequence = announcement.sequence;
        delta.running = announcement.running;
        delta.queued = announcement.queued;
        delta.outstandingTokens = announcement.outstandingTokens;
        delta.reportLagMs = static_cast<std::int64_t>(static_cast<std::uint64_t>(batch.reportBaseMs) - static_cast<std::uint64_t>(announcement.reportTimeMs));
        delta.cacheEvents = eventsSince(entry, batch.sinceVersion);
        bytes += renewalDeltaBytes + eventBytes(delta.cacheEvents);
        batch.renewals.push_back(std::move(delta));
    }

    void add(const Entry& entry, bool needsFull)
    {
        if (entry.hasLeft)
            addLeave(entry);
        else if (entry.expiresAt <= now)
            return;
        else if (needsFull || entry.fullVersion > batch.sinceVersion)
            addFull(entry);
        else
            addRenewal(entry);
    }
};

DeltaRequest DirectoryState::makeRequest(const InstanceId& peer, DeltaScope scope)
{
    const std::lock_guard lock(m_mutex);
    const PeerProgress& progress = m_peerProgress[peer];
    DeltaRequest request;
    request.from = m_options.self;
    request.dataCentre = m_options.dataCentre;
    request.epoch = progress.epoch;
    request.sinceVersion = progress.sinceVersion;
    request.scope = static_cast<std::uint8_t>(scope);
    request.missingHandles.assign(progress.missingHandles.begin(), progress.missingHandles.end());
    return request;
}

DeltaBatch DirectoryState::answer(const DeltaRequest& request, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    BatchWriter writer;
    writer.now = now;
    writer.maxBytes = m_options.maxBatchBytes;
    writer.batch.from = m_options.self;
    writer.batch.epoch = m_epoch;
    const bool isIncremental = request.epoch == m_epoch && request.sinceVersion <= m_version;
    writer.batch.sinceVersion = isIncremental ? request.sinceVersion : 0;
    writer.batch.upToVersion = m_version;
    addDrains(writer);
    for (const std::uint32_t handle : request.missingHandles) {
        const auto found = m_endpointsByHandle.find(handle);
        const Entry* entry = isIncremental && found != m_endpointsByHandle.end() ? findEntry(found->second) : nullptr;
        if (entry != nullptr && !writer.isFull())
            writer.add(*entry, true);
    }
    if (request.scope == static_cast<std::uint8_t>(DeltaScope::Subset))
        addSubsetChanges(writer, request, now);
    else
        addLogChanges(writer, request);
    return std::move(writer.batch);
}

void DirectoryState::addDrains(BatchWriter& writer) const
{
    for (const auto& [id, mark] : m_drains) {
        if (mark.version > writer.batch.sinceVersion)
            writer.batch.drains.push_back({ id, mark.draining, mark.revision });
    }
}

void DirectoryState::addLogChanges(BatchWriter& writer, const DeltaRequest& request)
{
    // Leaves and the first answer are not limited to local announcements, because the instance that received the others
    // may no longer exist.
    const std::uint64_t sinceVersion = writer.batch.sinceVersion;
    const bool isLocalOnly = request.scope == static_cast<std::uint8_t>(DeltaScope::Local) && sinceVersion > 0;
    for (auto item = m_changeLog.upper_bound(sinceVersion); item != m_changeLog.end(); ++item) {
        const Entry& entry = *findEntry(item->second);
        if (isLocalOnly && !entry.hasLeft && entry.localVersion <= sinceVersion)
            continue;
        if (writer.isFull()) {
            writer.batch.hasMore = true;
            writer.batch.upToVersion = std::prev(item)->first;
            return;
        }
        writer.add(entry, false);
    }
}

void DirectoryState::refreshSubset(SubsetProgress& progress, const DeltaRequest& request, TimePoint now) const
{
    if (std::exchange(progress.membershipVersion, m_membershipVersion) == m_membershipVersion)
        return;
    using Ranked = std::tuple<bool, std::uint64_t, EndpointId>;
    std::unordered_map<ServiceName, std::vector<Ranked>> services;
    for (const auto& [id, entry] : m_entries) {
        if (!entry.isListed || entry.expiresAt <= now || isDraining(id))
            continue;
        const bool isRemote = entry.announcement.dataCentre != request.dataCentre;
        services[entry.announcement.service].emplace_back(isRemote, ~rendezvousScore(request.from, id), id);
    }
    progress.subset.clear();
    for (auto& [service, ranked] : services) {
        const std::size_t count = std::min(ranked.size(), m_options.candidateLimit);
        std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end());
        for (std::size_t i = 0; i < count; ++i)
            progress.subset.push_back(std::get<EndpointId>(ranked[i]));
    }
}

void DirectoryState::addSubsetChanges(BatchWriter& writer, const DeltaRequest& request, TimePoint now)
{
    if (m_subsetProgress.size() >= maxSubsetRequesters && !m_subsetProgress.contains(request.from))
        m_subsetProgress.clear(); // The other requesters are sent full announcements again.
    SubsetProgress& progress = m_subsetProgress[request.from];
    progress.lastRequest = now;
    if (writer.batch.sinceVersion == 0)
        progress.sent.clear();
    refreshSubset(progress, request, now);
    std::vector<std::pair<std::uint64_t, const Entry*>> changes;
    for (const EndpointId& id : progress.subset) {
        const Entry* entry = findEntry(id);
        if (entry != nullptr && (entry->version > writer.batch.sinceVersion || !progress.sent.contains(id)))
            changes.emplace_back(entry->version, entry);
    }
    for (const EndpointId& id : progress.sent) {
        const Entry* entry = findEntry(id);
        if (entry != nullptr && entry->hasLeft && entry->version > writer.batch.sinceVersion)
            changes.emplace_back(entry->version, entry);
    }
    std::sort(changes.begin(), changes.end());
    for (const auto& [version, entry] : changes) {
        if (writer.isFull()) {
            writer.batch.hasMore = true;
            writer.batch.upToVersion = std::max(writer.batch.sinceVersion, version - 1);
            return;
        }
        writer.add(*entry, !progress.sent.contains(entry->announcement.id));
        progress.sent.insert(entry->announcement.id);
    }
}

TimePoint DirectoryState::leaseExpiry(std::uint32_t leaseMs, TimePoint requestedAt) const noexcept
{
    return requestedAt + std::min<Duration>(std::chrono::milliseconds(leaseMs), m_options.lease);
}

void DirectoryState::merge(const DeltaBatch& batch, TimePoint requestedAt, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    PeerProgress& progress = m_peerProgress[batch.from];
    if (batch.epoch != progress.epoch) {
        if (batch.sinceVersion != 0)
            return;
        progress = {};
        progress.epoch = batch.epoch;
    }
    progress.lastMerge = now;
    mergeFullAnnouncements(batch, progress, requestedAt, now);
    mergeRenewals(batch, progress, requestedAt, now);
    for (const LeaveDelta& leave : batch.leaves) {
        if (isValidEndpointId(leave.id))
            markLeft(leave.id, leave.incarnation, now);
    }
    for (const DrainDelta& drain : batch.drains) {
        if (isValidEndpointId(drain.id))
            applyDrain(drain, now);
    }
    // The progress only advances, and a batch that starts after it must not advance it, because the changes in between
    // would never be requested.
    if (batch.sinceVersion <= progress.sinceVersion)
        progress.sinceVersion = std::max(progress.sinceVersion, batch.upToVersion);
}

void DirectoryState::mergeFullAnnouncements(const DeltaBatch& batch, PeerProgress& progress, TimePoint requestedAt, TimePoint now)
{
    for (const FullDelta& full : batch.fullAnnouncements) {
        if (!checkAnnouncement(full.announcement))
            continue;
        if (progress.handles.size() >= 2 * m_options.maxEndpoints) {
            progress = {}; // Drop the accumulated handles of removed endpoints; the next request starts from the beginning.
            return;
        }
        progress.missingHandles.erase(full.handle);
        progress.handles[full.handle] = { full.announcement.id, full.announcement.incarnation };
        applyPeerAnnouncement(full.announcement, leaseExpiry(full.leaseMs, requestedAt), now);
    }
}

void DirectoryState::applyPeerAnnouncement(EndpointAnnouncement announcement, TimePoint expiresAt, TimePoint now)
{
    Entry* entry = findOrCreateEntry(announcement.id);
    if (entry == nullptr || announcement.incarnation < entry->announcement.incarnation)
        return;
    const bool isSameIncarnation = announcement.incarnation == entry->announcement.incarnation && (entry->record || entry->hasLeft);
    if (isSameIncarnation && entry->hasLeft)
        return;
    // Each lease expiry derives from an announcement that an instance received from the endpoint itself, so that the
    // latest expiry is valid regardless of the order in which batches arrive.
    if (isSameIncarnation && announcement.sequence <= entry->announcement.sequence)
        return extendLease(*entry, expiresAt, now);
    storeAnnouncement(*entry, std::move(announcement), expiresAt, now, Origin::Peer);
}

void DirectoryState::mergeRenewals(const DeltaBatch& batch, PeerProgress& progress, TimePoint requestedAt, TimePoint now)
{
    const auto requestFull = [&progress](std::uint32_t handle) {
        if (progress.missingHandles.size() < maxMissingHandles)
            progress.missingHandles.insert(handle);
    };
    for (const RenewalDelta& renewal : batch.renewals) {
        const auto knownHandle = progress.handles.find(renewal.handle);
        if (knownHandle == progress.handles.end()) {
            requestFull(renewal.handle);
            continue;
        }
        const auto& [id, incarnation] = knownHandle->second;
        Entry* entry = findEntry(id);
        if (entry == nullptr || !entry->record || entry->announcement.incarnation < incarnation) {
            requestFull(renewal.handle);
            continue;
        }
        if (entry->announcement.incarnation > incarnation || entry->hasLeft)
            continue;
        const TimePoint expiresAt = leaseExpiry(renewal.leaseMs, requestedAt);
        const bool isNewer = renewal.sequence > entry->announcement.sequence;
        if (isNewer && renewal.identityHash != entry->identityHash)
            requestFull(renewal.handle);
        if (!isNewer || renewal.identityHash != entry->identityHash) {
            extendLease(*entry, expiresAt, now);
            continue;
        }
        EndpointAnnouncement announcement = entry->announcement;
        announcement.sequence = renewal.sequence;
        announcement.running = renewal.running;
        announcement.queued = renewal.queued;
        announcement.outstandingTokens = renewal.outstandingTokens;
        announcement.reportTimeMs = static_cast<std::int64_t>(static_cast<std::uint64_t>(batch.reportBaseMs) - static_cast<std::uint64_t>(renewal.reportLagMs));
        announcement.cacheEvents = renewal.cacheEvents;
        storeAnnouncement(*entry, std::move(announcement), expiresAt, now, Origin::Peer);
    }
}

}
