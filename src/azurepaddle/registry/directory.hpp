#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/registry/endpoint.hpp"

#include <deque>
#include <optional>
#include <set>
#include <vector>

namespace azurepaddle::registry {

/// What changed in the directory after a revision.
struct DirectoryChanges {
    std::vector<EndpointRecord> changed;
    std::vector<EndpointId> removed;
};

/// The agreed records of all endpoints. Deterministic.
class Directory {
public:
    /// Stores a record unless a later incarnation is known. Records of other endpoints at the same address end, because
    /// an address belongs to the endpoint that started last.
    void set(const EndpointRecord& record);
    /// Marks an incarnation as gone.
    void leave(const EndpointIncarnation& leave);
    /// Forgets an incarnation, for example after it was silent for long.
    void forget(const EndpointIncarnation& leave);

    /// Null if unknown. Valid until the next change.
    [[nodiscard]] const EndpointRecord* find(const EndpointId& id) const;
    [[nodiscard]] const std::map<EndpointId, EndpointRecord>& records() const noexcept { return m_records; }
    /// Records of these services without the endpoints that left.
    [[nodiscard]] std::vector<EndpointRecord> activeEndpointsOf(const std::set<ServiceName>& services) const;
    /// Rises with each change, and is the same on all instances that applied the same commands.
    [[nodiscard]] std::uint64_t revision() const noexcept { return m_revision; }
    /// Nothing if the changes after this revision are not known any more.
    [[nodiscard]] std::optional<DirectoryChanges> changesSince(std::uint64_t revision) const;

    /// What a heartbeat changes in the agreed records: nothing, or the record to agree on. Late heartbeats of
    /// incarnations that ended change nothing.
    [[nodiscard]] std::optional<EndpointRecord> changeBy(const EndpointRecord& beat) const;

    void restore(const std::vector<EndpointRecord>& records, std::uint64_t revision);

private:
    void remove(std::map<EndpointId, EndpointRecord>::iterator record);
    void trimGone();
    void store(const EndpointRecord& record);
    void markGone(EndpointRecord& record);
    void forgetAddress(const EndpointRecord& record);

    std::map<EndpointId, EndpointRecord> m_records;
    std::map<InstanceAddress, std::set<EndpointId>> m_atAddress; ///< All records.
    std::size_t m_gone = 0; ///< Records of endpoints that left.
    std::uint64_t m_revision = 0;
    std::map<EndpointId, std::uint64_t> m_changedAt; ///< Revisions of records that changed after m_firstKnown.
    std::deque<std::pair<std::uint64_t, EndpointId>> m_removed; ///< With their revisions, the oldest first.
    std::uint64_t m_firstKnown = 0; ///< Changes after this revision are known.
};

/// What one instance has heard of the endpoints itself. Not agreed.
class Liveness {
public:
    struct Entry {
        std::uint64_t startedMs = 0;
        std::uint64_t sequence = 0;
        TimePoint lastBeat {};
        std::map<std::string, WeightVersion> versions;
    };

    /// False if the heartbeat is older than one that was heard.
    [[nodiscard]] bool recordHeartbeat(const HeartbeatStatus& beat, TimePoint now);
    /// Notes a version that was learnt otherwise, for example by an order.
    void recordVersion(const EndpointId& id, const batch::ModelName& model, WeightVersion version);
    /// Starts the time of silence of endpoints that were not heard yet.
    void expect(const Directory& directory, TimePoint now);
    [[nodiscard]] const Entry* find(const EndpointId& id) const;
    /// Endpoints of the directory that were silent for longer than this.
    [[nodiscard]] std::vector<EndpointIncarnation> silent(const Directory& directory, TimePoint now, Duration limit) const;
    /// The version of a model that an endpoint holds: as heard from this incarnation, or else as agreed.
    [[nodiscard]] WeightVersion versionOf(const EndpointRecord& record, const batch::ModelName& model) const;
    /// Notes that an incarnation says in its answers that it leaves.
    void recordDraining(const EndpointIncarnation& leave);
    /// Whether this incarnation takes new work: it is agreed to be ready and did not say that it leaves.
    [[nodiscard]] bool isAcceptingWork(const EndpointRecord& record) const;
    /// Endpoints that are agreed to be ready but said that they leave.
    [[nodiscard]] std::vector<EndpointRecord> leaving(const Directory& directory) const;
    /// Forgets what was heard. What endpoints said of their leaving stays true.
    void clear() { m_entries.clear(); }

private:
    std::map<EndpointId, Entry> m_entries;
    std::map<EndpointId, std::uint64_t> m_leaving; ///< Start times of the incarnations.
};

}
