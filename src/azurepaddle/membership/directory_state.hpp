#pragma once

#include "azurepaddle/membership/delta.hpp"
#include "azurepaddle/membership/service_lists.hpp"

#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace azurepaddle::membership::internal {

/// The state of an EndpointDirectory. Functions get the current time as an argument. Thread-safe: candidates are read
/// under the locks of ServiceLists, everything else is protected by one lock.
class DirectoryState {
public:
    DirectoryState(DirectoryOptions options, std::uint64_t epoch);

    [[nodiscard]] tl::expected<void, DirectoryError> announce(EndpointAnnouncement announcement, TimePoint now);
    [[nodiscard]] tl::expected<void, DirectoryError> leave(const EndpointId& id, std::optional<std::uint64_t> incarnation, TimePoint now);
    void setDraining(const EndpointId& id, bool draining, TimePoint now);
    [[nodiscard]] std::vector<EndpointId> expire(TimePoint now);
    [[nodiscard]] CandidateList candidates(const ServiceName& service, TimePoint now) const;
    [[nodiscard]] EndpointPointer find(const EndpointId& id) const;
    [[nodiscard]] std::vector<EndpointStatus> statuses(TimePoint now) const;
    [[nodiscard]] std::uint64_t version() const;
    [[nodiscard]] std::uint64_t epoch() const noexcept { return m_epoch; }

    [[nodiscard]] DeltaRequest makeRequest(const InstanceId& peer, DeltaScope scope);
    [[nodiscard]] DeltaBatch answer(const DeltaRequest& request, TimePoint now);
    void merge(const DeltaBatch& batch, TimePoint requestedAt, TimePoint now);

private:
    struct RecentEvent {
        std::uint64_t version;
        CacheEvent event;
    };
    struct Entry {
        EndpointAnnouncement announcement; ///< Without cache events.
        std::deque<RecentEvent> events;
        EndpointPointer record; ///< Null for an endpoint of which only the leave was received.
        TimePoint expiresAt;
        TimePoint retainUntil;
        std::uint64_t version = 0; ///< Of the last change.
        std::uint64_t fullVersion = 0; ///< Of the last change that a RenewalDelta cannot transfer.
        std::uint64_t localVersion = 0; ///< Of the last announcement that the endpoint sent to this instance.
        std::uint32_t handle = 0; ///< Of this endpoint and incarnation.
        std::uint32_t identityHash = 0; ///< See hashIdentity.
        bool hasLeft = false;
        bool isListed = false; ///< In the candidate lists.
    };
    using EntryMap = std::unordered_map<EndpointId, Entry>;
    struct DrainMark {
        bool draining = false;
        std::uint64_t revision = 0;
        std::uint64_t version = 0;
    };
    /// How far this instance has received the changes of a peer's directory.
    struct PeerProgress {
        std::uint64_t epoch = 0;
        std::uint64_t sinceVersion = 0;
        std::unordered_map<std::uint32_t, std::pair<EndpointId, std::uint64_t>> handles;
        std::set<std::uint32_t> missingHandles;
        TimePoint lastMerge;
    };
    /// What this instance has sent to a peer that requests a subset.
    struct SubsetProgress {
        std::uint64_t membershipVersion = 0;
        std::vector<EndpointId> subset;
        std::unordered_set<EndpointId> sent;
        TimePoint lastRequest;
    };
    enum class Origin : unsigned char {
        Local,
        Peer,
    };
    struct BatchWriter;

    // Changes. The caller holds the lock.
    [[nodiscard]] Entry* findEntry(const EndpointId& id);
    [[nodiscard]] Entry* findOrCreateEntry(const EndpointId& id);
    void storeAnnouncement(Entry& entry, EndpointAnnouncement announcement, TimePoint expiresAt, TimePoint now, Origin origin);
    void applyPeerAnnouncement(EndpointAnnouncement announcement, TimePoint expiresAt, TimePoint now);
    void extendLease(Entry& entry, TimePoint expiresAt, TimePoint now);
    void markLeft(const EndpointId& id, std::uint64_t incarnation, TimePoint now);
    void applyDrain(const DrainDelta& drain, TimePoint now);
    EntryMap::iterator eraseEntry(EntryMap::iterator item);
    void assignVersion(const EndpointId& id, Entry& entry);
    void publishRecord(Entry& entry, TimePoint now);
    void removeFromLists(Entry& entry);
    void appendEvents(Entry& entry, std::vector<CacheEvent> events) const;
    void mergeFullAnnouncements(const DeltaBatch& batch, PeerProgress& progress, TimePoint requestedAt, TimePoint now);
    void mergeRenewals(const DeltaBatch& batch, PeerProgress& progress, TimePoint requestedAt, TimePoint now);
    [[nodiscard]] TimePoint leaseExpiry(std::uint32_t leaseMs, TimePoint requestedAt) const noexcept;
    [[nodiscard]] bool isDraining(const EndpointId& id) const;

    // Answers. The caller holds the lock.
    void addLogChanges(BatchWriter& writer, const DeltaRequest& request);
    void addSubsetChanges(BatchWriter& writer, const DeltaRequest& request, TimePoint now);
    void addDrains(BatchWriter& writer) const;
    void refreshSubset(SubsetProgress& progress, const DeltaRequest& request, TimePoint now) const;

    DirectoryOptions m_options;
    std::uint64_t m_epoch;
    ServiceLists m_lists;
    mutable std::mutex m_mutex;
    EntryMap m_entries;
    std::unordered_map<EndpointId, DrainMark> m_drains;
    std::map<std::uint64_t, EndpointId> m_changeLog; ///< Endpoints by the version of their last change.
    std::unordered_map<std::uint32_t, EndpointId> m_endpointsByHandle;
    std::unordered_map<InstanceId, PeerProgress> m_peerProgress;
    std::unordered_map<InstanceId, SubsetProgress> m_subsetProgress;
    std::uint64_t m_version = 0;
    std::uint64_t m_membershipVersion = 1; ///< Incremented when an endpoint enters or leaves the lists, or a drain mark changes.
    std::uint32_t m_nextHandle = 1;
};

}
