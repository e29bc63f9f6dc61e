#include "azurepaddle/membership/directory_state.hpp"

#include <algorithm>
#include <utility>

// The exchange of changes between directories.
namespace azurepaddle::membership::internal {

namespace {

    constexpr std::size_t maxWanted = 4096;
    constexpr std::size_t maxSubsets = 4096; ///< Requesters remembered at once.
    // Sizes on the wire without strings and hashes, rounded up; a batch only needs to stay near its bound.
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

/// Collects the answer to one request.
struct DirectoryState::BatchWriter {
    DeltaBatch batch;
    TimePoint now;
    std::size_t budget = 0;
    std::size_t bytes = 0;

    [[nodiscard]] bool full() const noexcept { return bytes >= budget; }

    static std::vector<CacheEvent> eventsSince(const Entry& entry, std::uint64_t since)
    {
        std::vector<CacheEvent> events;
        for (const RecentEvent& recent : entry.events) {
            if (recent.version > since)
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
        batch.fulls.push_back(std::move(delta));
    }

    void addRenewal(const Entry& entry)
    {
        const EndpointAnnouncement& announcement = entry.announcement;
        if (batch.reportBaseMs == 0)
            batch.reportBaseMs = announcement.reportTimeMs;
        RenewalDelta delta;
        delta.handle = entry.handle;
        delta.leaseMs = toMilliseconds(entry.expiresAt - now);
        delta.identityTag = entry.tag;
        delta.sequence = announcement.sequence;
        delta.running = announcement.running;
        delta.queued = announcement.queued;
        delta.outstandingTokens = announcement.outstandingTokens;
        delta.reportLagMs = static_cast<std::int64_t>(static_cast<std::uint64_t>(batch.reportBaseMs) - static_cast<std::uint64_t>(announcement.reportTimeMs));
        delta.cacheEvents = eventsSince(entry, batch.since);
        bytes += renewalDeltaBytes + eventBytes(delta.cacheEvents);
        batch.renewals.push_back(std::move(delta));
    }

    void add(const Entry& entry, bool needsFull)
    {
        if (entry.left)
            addLeave(entry);
        else if (entry.expiresAt <= now)
            return;
        else if (needsFull || entry.fullVersion > batch.since)
            addFull(entry);
        else
            addRenewal(entry);
    }
};

DeltaRequest DirectoryState::makeRequest(const InstanceId& peer, DeltaScope scope)
{
    const std::lock_guard lock(m_mutex);
    const PeerView& view = m_peers[peer];
    DeltaRequest request;
    request.from = m_options.self;
    request.dataCentre = m_options.dataCentre;
    request.epoch = view.epoch;
    request.since = view.since;
    request.scope = static_cast<std::uint8_t>(scope);
    request.wanted.assign(view.wanted.begin(), view.wanted.end());
    return request;
}

DeltaBatch DirectoryState::answer(const DeltaRequest& request, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    BatchWriter writer;
    writer.now = now;
    writer.budget = m_options.maxBatchBytes;
    writer.batch.from = m_options.self;
    writer.batch.epoch = m_epoch;
    const bool continues = request.epoch == m_epoch && request.since <= m_version;
    writer.batch.since = continues ? request.since : 0;
    writer.batch.upTo = m_version;
    answerDrains(writer);
    for (const std::uint32_t handle : request.wanted) {
        const auto found = m_handles.find(handle);
        const Entry* entry = continues && found != m_handles.end() ? findEntry(found->second) : nullptr;
        if (entry != nullptr && !writer.full())
            writer.add(*entry, true);
    }
    if (request.scope == static_cast<std::uint8_t>(DeltaScope::Subset))
        answerSubset(writer, request, now);
    else
        answerLog(writer, request);
    return std::move(writer.batch);
}

void DirectoryState::answerDrains(BatchWriter& writer) const
{
    for (const auto& [id, mark] : m_drains) {
        if (mark.version > writer.batch.since)
            writer.batch.drains.push_back({ id, mark.draining, mark.revision });
    }
}

void DirectoryState::answerLog(BatchWriter& writer, const DeltaRequest& request)
{
    // Leaves and the first answer are never limited to local announcements: the instance that received them may be gone.
    const std::uint64_t since = writer.batch.since;
    const bool localOnly = request.scope == static_cast<std::uint8_t>(DeltaScope::Local) && since > 0;
    for (auto item = m_log.upper_bound(since); item != m_log.end(); ++item) {
        const Entry& entry = *findEntry(item->second);
        if (localOnly && !entry.left && entry.localVersion <= since)
            continue;
        if (writer.full()) {
            writer.batch.hasMore = true;
            writer.batch.upTo = std::prev(item)->first;
            return;
        }
        writer.add(entry, false);
    }
}

void DirectoryState::refreshSubset(SubsetView& view, const DeltaRequest& request, TimePoint now) const
{
    if (std::exchange(view.membershipVersion, m_membershipVersion) == m_membershipVersion)
        return;
    using Ranked = std::tuple<bool, std::uint64_t, EndpointId>;
    std::unordered_map<ServiceName, std::vector<Ranked>> services;
    for (const auto& [id, entry] : m_entries) {
        if (!entry.listed || entry.expiresAt <= now || isDraining(id))
            continue;
        const bool foreign = entry.announcement.dataCentre != request.dataCentre;
        services[entry.announcement.service].emplace_back(foreign, ~rendezvousScore(request.from, id), id);
    }
    view.subset.clear();
    for (auto& [service, ranked] : services) {
        const std::size_t count = std::min(ranked.size(), m_options.candidateLimit);
        std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end());
        for (std::size_t i = 0; i < count; ++i)
            view.subset.push_back(std::get<EndpointId>(ranked[i]));
    }
}

void DirectoryState::answerSubset(BatchWriter& writer, const DeltaRequest& request, TimePoint now)
{
    if (m_subsets.size() >= maxSubsets && !m_subsets.contains(request.from))
        m_subsets.clear(); // The others get full announcements once more.
    SubsetView& view = m_subsets[request.from];
    view.lastRequest = now;
    if (writer.batch.since == 0)
        view.served.clear();
    refreshSubset(view, request, now);
    std::vector<std::pair<std::uint64_t, const Entry*>> due;
    for (const EndpointId& id : view.subset) {
        const Entry* entry = findEntry(id);
        if (entry != nullptr && (entry->version > writer.batch.since || !view.served.contains(id)))
            due.emplace_back(entry->version, entry);
    }
    for (const EndpointId& id : view.served) {
        const Entry* entry = findEntry(id);
        if (entry != nullptr && entry->left && entry->version > writer.batch.since)
            due.emplace_back(entry->version, entry);
    }
    std::sort(due.begin(), due.end());
    for (const auto& [version, entry] : due) {
        if (writer.full()) {
            writer.batch.hasMore = true;
            writer.batch.upTo = std::max(writer.batch.since, version - 1);
            return;
        }
        writer.add(*entry, !view.served.contains(entry->announcement.id));
        view.served.insert(entry->announcement.id);
    }
}

TimePoint DirectoryState::leaseEnd(std::uint32_t leaseMs, TimePoint requestedAt) const noexcept
{
    return requestedAt + std::min<Duration>(std::chrono::milliseconds(leaseMs), m_options.lease);
}

void DirectoryState::merge(const DeltaBatch& batch, TimePoint requestedAt, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    PeerView& view = m_peers[batch.from];
    if (batch.epoch != view.epoch) {
        if (batch.since != 0)
            return;
        view = {};
        view.epoch = batch.epoch;
    }
    view.lastMerge = now;
    mergeFulls(batch, view, requestedAt, now);
    mergeRenewals(batch, view, requestedAt, now);
    for (const LeaveDelta& leave : batch.leaves) {
        if (isEndpointName(leave.id))
            markLeft(leave.id, leave.incarnation, now);
    }
    for (const DrainDelta& drain : batch.drains) {
        if (isEndpointName(drain.id))
            applyDrain(drain, now);
    }
    // A batch that starts behind what is known adds nothing, and one that starts ahead would leave a gap.
    if (batch.since <= view.since)
        view.since = std::max(view.since, batch.upTo);
}

void DirectoryState::mergeFulls(const DeltaBatch& batch, PeerView& view, TimePoint requestedAt, TimePoint now)
{
    for (const FullDelta& full : batch.fulls) {
        if (!checkAnnouncement(full.announcement))
            continue;
        if (view.handles.size() >= 2 * m_options.maxEndpoints) {
            view = {}; // Handles of endpoints that are gone pile up; start again from the beginning.
            return;
        }
        view.wanted.erase(full.handle);
        view.handles[full.handle] = { full.announcement.id, full.announcement.incarnation };
        applyPeerAnnouncement(full.announcement, leaseEnd(full.leaseMs, requestedAt), now);
    }
}

void DirectoryState::applyPeerAnnouncement(EndpointAnnouncement announcement, TimePoint expiresAt, TimePoint now)
{
    Entry* entry = makeEntry(announcement.id);
    if (entry == nullptr || announcement.incarnation < entry->announcement.incarnation)
        return;
    const bool sameIncarnation = announcement.incarnation == entry->announcement.incarnation && (entry->record || entry->left);
    if (sameIncarnation && entry->left)
        return;
    // Each lease end follows from a receipt from the endpoint itself, so the latest one holds whatever the order.
    if (sameIncarnation && announcement.sequence <= entry->announcement.sequence)
        return extendLease(*entry, expiresAt, now);
    accept(*entry, std::move(announcement), expiresAt, now, Origin::Peer);
}

void DirectoryState::mergeRenewals(const DeltaBatch& batch, PeerView& view, TimePoint requestedAt, TimePoint now)
{
    const auto want = [&view](std::uint32_t handle) {
        if (view.wanted.size() < maxWanted)
            view.wanted.insert(handle);
    };
    for (const RenewalDelta& renewal : batch.renewals) {
        const auto named = view.handles.find(renewal.handle);
        if (named == view.handles.end()) {
            want(renewal.handle);
            continue;
        }
        const auto& [id, incarnation] = named->second;
        Entry* entry = findEntry(id);
        if (entry == nullptr || !entry->record || entry->announcement.incarnation < incarnation) {
            want(renewal.handle);
            continue;
        }
        if (entry->announcement.incarnation > incarnation || entry->left)
            continue;
        const TimePoint expiresAt = leaseEnd(renewal.leaseMs, requestedAt);
        const bool isNewer = renewal.sequence > entry->announcement.sequence;
        if (isNewer && renewal.identityTag != entry->tag)
            want(renewal.handle);
        if (!isNewer || renewal.identityTag != entry->tag) {
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
        accept(*entry, std::move(announcement), expiresAt, now, Origin::Peer);
    }
}

}
