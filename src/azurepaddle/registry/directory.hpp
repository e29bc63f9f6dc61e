#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/registry/endpoint.hpp"

#include <deque>
#include <optional>
#include <set>
#include <vector>

namespace azurepaddle::registry {

/// Changes of the directory after a revision.
struct DirectoryChanges {
    std::vector<EndpointRecord> changed;
    std::vector<EndpointId> removed;
};

/// The replicated records of all endpoints. Deterministic: the same commands yield the same state on all instances.
class Directory {
public:
    /// Stores a record unless a later incarnation is known. Other endpoints at the same address are marked as gone,
    /// because an address belongs to the endpoint that started last.
    void set(const EndpointRecord& record);
    /// Marks an incarnation as gone and keeps its record, so that late heartbeats of it are recognised.
    void deregister(const EndpointIncarnation& incarnation);
    /// Deletes the record of an incarnation, for example after its heartbeats timed out.
    void remove(const EndpointIncarnation& incarnation);

    /// Raises the recorded weight version of an incarnation. Does not change the revision, because only the leader uses
    /// versions: the next leader can place items before the endpoints have sent it a heartbeat.
    void recordVersion(const EndpointIncarnation& incarnation, const batch::ModelName& model, WeightVersion version);

    /// Null if unknown. The pointer is valid until the next change.
    [[nodiscard]] const EndpointRecord* find(const EndpointId& id) const;
    [[nodiscard]] const std::map<EndpointId, EndpointRecord>& records() const noexcept { return m_records; }
    /// Records of the endpoints of these services that are not gone.
    [[nodiscard]] std::vector<EndpointRecord> activeEndpointsOf(const std::set<ServiceName>& services) const;
    /// Increases with each change, and is the same on all instances that applied the same commands.
    [[nodiscard]] std::uint64_t revision() const noexcept { return m_revision; }
    /// A revision that includes all changes of endpoints that serve this service now.
    [[nodiscard]] std::uint64_t newestChangeOf(const ServiceName& service) const;
    /// Empty if the history does not reach back to this revision.
    [[nodiscard]] std::optional<DirectoryChanges> changesSince(std::uint64_t revision) const;

    /// The record to replicate if a heartbeat changes the directory; empty otherwise. Late heartbeats of incarnations
    /// that ended change nothing.
    [[nodiscard]] std::optional<EndpointRecord> recordUpdateFrom(const EndpointRecord& heartbeat) const;

    void restore(const std::vector<EndpointRecord>& records, std::uint64_t revision);

private:
    void eraseRecord(std::map<EndpointId, EndpointRecord>::iterator record);
    void evictOldestGone();
    void store(const EndpointRecord& record);
    void markGone(EndpointRecord& record);
    void removeFromAddressIndex(const EndpointRecord& record);

    std::map<EndpointId, EndpointRecord> m_records;
    std::map<InstanceAddress, std::set<EndpointId>> m_idsByAddress; ///< Includes records in state Gone.
    std::size_t m_goneCount = 0; ///< Records in state Gone.
    std::uint64_t m_revision = 0;
    std::map<EndpointId, std::uint64_t> m_changeRevisions; ///< Last change of records in the history.
    std::deque<std::pair<std::uint64_t, EndpointId>> m_removals; ///< With their revisions, oldest first.
    std::uint64_t m_historyStart = 0; ///< All changes after this revision are in the history.
};

/// The heartbeats and draining notices that one instance has received. Local, not replicated.
class Liveness {
public:
    struct Entry {
        std::uint64_t startedMs = 0;
        std::uint64_t sequence = 0;
        TimePoint lastHeartbeat {};
        std::map<std::string, WeightVersion> versions;
        std::optional<TimePoint> leavesAt {}; ///< When a draining endpoint leaves, if it named the time.
    };

    /// False if the heartbeat is older than one that was recorded.
    [[nodiscard]] bool recordHeartbeat(const HeartbeatStatus& status, TimePoint now);
    /// Records a weight version known from another source than a heartbeat, for example from a completed order.
    void recordVersion(const EndpointId& id, const batch::ModelName& model, WeightVersion version);
    /// Starts the heartbeat timeout of endpoints without an entry.
    void startTracking(const Directory& directory, TimePoint now);
    [[nodiscard]] const Entry* find(const EndpointId& id) const;
    /// Endpoints of the directory whose last heartbeat is older than the limit.
    [[nodiscard]] std::vector<EndpointIncarnation> timedOut(const Directory& directory, TimePoint now, Duration limit) const;
    /// The version of a model that an endpoint holds: from the heartbeats of this incarnation, else from the record.
    [[nodiscard]] WeightVersion versionOf(const EndpointRecord& record, const batch::ModelName& model) const;
    /// Records that an incarnation announced in a response that it is draining.
    void recordDraining(const EndpointIncarnation& incarnation);
    /// Whether this incarnation takes new work: its record is in state Ready and it has not announced that it is
    /// draining.
    [[nodiscard]] bool isAcceptingWork(const EndpointRecord& record) const;
    /// Endpoints whose records are in state Ready although they announced that they are draining.
    [[nodiscard]] std::vector<EndpointRecord> drainingEndpoints(const Directory& directory) const;
    /// Removes all heartbeat entries. Draining notices are kept, because draining is final for an incarnation.
    void clear() { m_entries.clear(); }

private:
    std::map<EndpointId, Entry> m_entries;
    std::map<EndpointId, std::uint64_t> m_drainingIncarnations; ///< Start times of the draining incarnations.
};

}
