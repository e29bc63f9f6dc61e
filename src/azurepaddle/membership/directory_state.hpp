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

/// The state of an EndpointDirectory; every function is told the time. Thread-safe: writers share one lock, readers of
/// candidates use those of ServiceLists.
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
        EndpointPointer record; ///< Nothing for an endpoint of which only the leave is known.
        TimePoint expiresAt;
        TimePoint keepUntil;
        std::uint64_t version = 0; ///< Of the last change.
        std::uint64_t fullVersion = 0; ///< Of the last change that a renewal cannot carry.
        std::uint64_t localVersion = 0; ///< Of the last announcement made to this instance.
        std::uint32_t handle = 0; ///< Of this endpoint and incarnation.
        std::uint32_t tag = 0; ///< See identityTag.
        bool left = false;
        bool listed = false; ///< In the candidate lists.
    };
    using EntryMap = std::unordered_map<EndpointId, Entry>;
    struct DrainMark {
        bool draining = false;
        std::uint64_t revision = 0;
        std::uint64_t version = 0;
    };
    /// What this instance received from a peer's directory.
    struct PeerView {
        std::uint64_t epoch = 0;
        std::uint64_t since = 0;
        std::unordered_map<std::uint32_t, std::pair<EndpointId, std::uint64_t>> handles;
        std::set<std::uint32_t> wanted;
        TimePoint lastMerge;
    };
    /// What this instance sent to a peer that asks for a subset.
    struct SubsetView {
        std::uint64_t membershipVersion = 0;
        std::vector<EndpointId> subset;
        std::unordered_set<EndpointId> served;
        TimePoint lastRequest;
    };
    enum class Origin : unsigned char {
        Local,
        Peer,
    };
    struct BatchWriter;

    // Changes; the lock is held.
    [[nodiscard]] Entry* findEntry(const EndpointId& id);
    [[nodiscard]] Entry* makeEntry(const EndpointId& id);
    void accept(Entry& entry, EndpointAnnouncement announcement, TimePoint expiresAt, TimePoint now, Origin origin);
    void applyPeerAnnouncement(EndpointAnnouncement announcement, TimePoint expiresAt, TimePoint now);
    void extendLease(Entry& entry, TimePoint expiresAt, TimePoint now);
    void markLeft(const EndpointId& id, std::uint64_t incarnation, TimePoint now);
    void applyDrain(const DrainDelta& drain, TimePoint now);
    EntryMap::iterator forget(EntryMap::iterator item);
    void touch(const EndpointId& id, Entry& entry);
    void publish(Entry& entry, TimePoint now);
    void unlist(Entry& entry);
    void addEvents(Entry& entry, std::vector<CacheEvent> events) const;
    void mergeFulls(const DeltaBatch& batch, PeerView& view, TimePoint requestedAt, TimePoint now);
    void mergeRenewals(const DeltaBatch& batch, PeerView& view, TimePoint requestedAt, TimePoint now);
    [[nodiscard]] TimePoint leaseEnd(std::uint32_t leaseMs, TimePoint requestedAt) const noexcept;
    [[nodiscard]] bool isDraining(const EndpointId& id) const;

    // Answers; the lock is held.
    void answerLog(BatchWriter& writer, const DeltaRequest& request);
    void answerSubset(BatchWriter& writer, const DeltaRequest& request, TimePoint now);
    void answerDrains(BatchWriter& writer) const;
    void refreshSubset(SubsetView& view, const DeltaRequest& request, TimePoint now) const;

    DirectoryOptions m_options;
    std::uint64_t m_epoch;
    ServiceLists m_lists;
    mutable std::mutex m_mutex;
    EntryMap m_entries;
    std::unordered_map<EndpointId, DrainMark> m_drains;
    std::map<std::uint64_t, EndpointId> m_log; ///< The endpoint that each version changed last.
    std::unordered_map<std::uint32_t, EndpointId> m_handles;
    std::unordered_map<InstanceId, PeerView> m_peers;
    std::unordered_map<InstanceId, SubsetView> m_subsets;
    std::uint64_t m_version = 0;
    std::uint64_t m_membershipVersion = 1; ///< Rises when an endpoint enters or leaves the lists.
    std::uint32_t m_nextHandle = 1;
};

}
