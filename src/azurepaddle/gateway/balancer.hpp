#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/random.hpp"
#include "azurepaddle/registry/endpoint.hpp"
#include "azurepaddle/registry/streams.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace azurepaddle::gateway {

/// The load that an endpoint reported with an answer.
struct LoadReport {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    double slowness = 1; ///< Current duration of work relative to its usual duration.

    friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

/// Outcome of a request at one endpoint, as used to rate the endpoint.
enum class RequestOutcome : std::uint8_t {
    Answered,
    Refused, ///< The endpoint was full or is leaving.
    Failed, ///< Connection failure, malformed answer or timeout.
    Cancelled, ///< Another endpoint answered first, or the caller cancelled the request.
};

/// Chooses endpoints of plain services by the load reports of earlier answers, the requests that this instance has in
/// progress, and the answer times and failures that it observed. A failed endpoint is avoided for a time that grows
/// with each consecutive failure.
class Balancer {
public:
    explicit Balancer(DataCentreName ownDataCentre)
        : m_ownDataCentre(std::move(ownDataCentre))
    {
    }

    /// Replaces the set of endpoints. Observations of incarnations that remain are kept.
    void setEndpoints(const std::vector<registry::EndpointRecord>& records);
    /// Applies added, changed and removed endpoints.
    void changeEndpoints(const std::vector<registry::EndpointRecord>& changed, const std::vector<EndpointId>& removed);

    /// The endpoint of a service with the lowest cost that is not excluded, or null. Endpoints that are being avoided
    /// after a failure or refusal are used only if there is no other.
    template <RandomSource RandomEngine>
    [[nodiscard]] const registry::EndpointRecord* choose(const ServiceName& service, const std::set<EndpointId>& excluded, TimePoint now, RandomEngine& random)
    {
        std::vector<Entry*> candidates = findCandidates(service, excluded, now);
        if (candidates.empty())
            return nullptr;
        Entry* best = candidates[random.below(candidates.size())];
        for (Entry* candidate : candidates) {
            if (estimateCost(*candidate, now) < estimateCost(*best, now))
                best = candidate;
        }
        return &best->record;
    }

    /// Whether the endpoint has a free slot, as far as this instance can tell, and is not being avoided.
    [[nodiscard]] bool hasFreeSlot(const EndpointId& id, TimePoint now) const;
    /// Whether the endpoint is listed under the service.
    [[nodiscard]] bool serves(const EndpointId& id, const ServiceName& service) const;
    /// The endpoints of a service that run other software than this version.
    [[nodiscard]] std::set<EndpointId> endpointsWithOtherSoftware(const ServiceName& service, const SoftwareVersion& software) const;
    void onRequestStarted(const EndpointId& id);
    /// Records the end of a request. The elapsed time updates the average if the request was answered, or if it was
    /// cancelled after more than the average.
    void onRequestEnded(const EndpointId& id, RequestOutcome outcome, Duration elapsed, TimePoint now);
    void onLoadReport(const EndpointId& id, const LoadReport& report, TimePoint now);
    /// Excludes an endpoint that announced its leave from being chosen, for the rest of its incarnation. A later
    /// incarnation, or another endpoint at the same address, is not affected. Returns the incarnation unless it was
    /// marked before.
    std::optional<registry::EndpointIncarnation> markLeaving(const EndpointId& id);

    /// Whether the endpoint is draining, announced its leave or is no longer listed, so that it is expected to end.
    [[nodiscard]] bool isLeaving(const registry::EndpointRecord& record) const;
    /// The endpoint that is listed at an address; the one that started last if there are several.
    [[nodiscard]] std::optional<registry::EndpointIncarnation> incarnationAt(const InstanceAddress& address) const;
    /// The records of all usable endpoints.
    [[nodiscard]] std::vector<registry::EndpointRecord> records() const;
    /// Number of usable endpoints of a service.
    [[nodiscard]] std::size_t endpointCount(const ServiceName& service) const;
    /// Number of usable endpoints of a service that run this software.
    [[nodiscard]] std::size_t endpointCount(const registry::StreamOrigin& origin) const;
    /// Total slots of the usable endpoints of a service.
    [[nodiscard]] std::size_t slotCount(const ServiceName& service) const;
    /// Median over the service's endpoints of the average answer time that this instance observed; a default if there
    /// is none.
    [[nodiscard]] Duration medianAnswerTime(const ServiceName& service) const;

private:
    struct Entry {
        registry::EndpointRecord record;
        std::uint32_t inProgress = 0;
        std::optional<LoadReport> lastReport;
        TimePoint reportedAt;
        double averageAnswerMs = 0; ///< 0 until the first answer.
        unsigned consecutiveFailures = 0;
        TimePoint avoidedUntil;
    };

    [[nodiscard]] std::vector<Entry*> findCandidates(const ServiceName& service, const std::set<EndpointId>& excluded, TimePoint now);
    [[nodiscard]] static double freshnessOfReport(const Entry& entry, TimePoint now);
    [[nodiscard]] static double occupiedSlots(const Entry& entry, TimePoint now);
    [[nodiscard]] double estimateCost(const Entry& entry, TimePoint now) const;
    [[nodiscard]] bool isUsable(const Entry& entry) const;
    [[nodiscard]] Entry makeEntry(const registry::EndpointRecord& record) const;
    void pruneLeaving();

    DataCentreName m_ownDataCentre;
    std::map<EndpointId, Entry> m_entries;
    /// Start times of the leaving incarnations. Kept when an endpoint is removed, in case it is listed again.
    std::map<EndpointId, std::uint64_t> m_leavingIncarnations;
};

}
