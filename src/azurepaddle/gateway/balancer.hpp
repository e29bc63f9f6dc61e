#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/random.hpp"
#include "azurepaddle/registry/endpoint.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace azurepaddle::gateway {

/// What an endpoint said of its load with an answer.
struct LoadReport {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    double slowness = 1; ///< How long work takes there at this moment, against the usual.

    friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

/// How a request at an endpoint ended, as far as it tells something about the endpoint.
enum class Experience : std::uint8_t {
    Answered,
    Refused, ///< It was full or is leaving.
    Failed, ///< No connection, a broken answer, or silence.
    Overtaken, ///< It had not answered when the request was settled otherwise.
};

/// Chooses endpoints of plain services from reports that came with earlier answers, the requests this instance has in
/// progress, and its own observations. Endpoints that fail are passed over for a time that grows with each failure.
class Balancer {
public:
    explicit Balancer(DataCentreName own)
        : m_own(std::move(own))
    {
    }

    /// Replaces the known endpoints. What was observed of those that stay is kept.
    void setEndpoints(const std::vector<registry::EndpointRecord>& records);
    /// Takes over what changed of them.
    void changeEndpoints(const std::vector<registry::EndpointRecord>& changed, const std::vector<EndpointId>& removed);

    /// The best endpoint of a service that is not excluded, or null. Failing endpoints are used only if no other is left.
    template <RandomSource RandomEngine>
    [[nodiscard]] const registry::EndpointRecord* choose(const ServiceName& service, const std::set<EndpointId>& excluded, TimePoint now, RandomEngine& random)
    {
        std::vector<Entry*> candidates = candidatesOf(service, excluded, now);
        if (candidates.empty())
            return nullptr;
        Entry* best = candidates[random.below(candidates.size())];
        for (Entry* candidate : candidates) {
            if (costOf(*candidate, now) < costOf(*best, now))
                best = candidate;
        }
        return &best->record;
    }

    void begin(const EndpointId& id);
    /// Ends a request; the time it took counts only if it was answered.
    void end(const EndpointId& id, Experience experience, Duration took, TimePoint now);
    void report(const EndpointId& id, const LoadReport& report, TimePoint now);
    /// Passes over an endpoint that says itself that it leaves, for as long as this incarnation lasts. The next
    /// incarnation, or another endpoint at its address, is not meant. Returns the incarnation where this is news.
    std::optional<registry::EndpointIncarnation> noteLeaving(const EndpointId& id);

    /// Whether an incarnation is to end as planned, or ended so.
    [[nodiscard]] bool isLeaving(const registry::EndpointRecord& record) const;
    /// Usable endpoints of a service.
    [[nodiscard]] std::size_t countOf(const ServiceName& service) const;
    /// Slots of these endpoints.
    [[nodiscard]] std::size_t slotsOf(const ServiceName& service) const;
    /// Usual time of an answer of the service at this instance.
    [[nodiscard]] Duration usualTime(const ServiceName& service) const;

private:
    struct Entry {
        registry::EndpointRecord record;
        std::uint32_t inProgress = 0;
        std::optional<LoadReport> lastReport;
        TimePoint reportedAt;
        double averageMs = 0; ///< 0 until the first answer.
        unsigned failures = 0; ///< In a row.
        TimePoint avoidUntil;
    };

    [[nodiscard]] std::vector<Entry*> candidatesOf(const ServiceName& service, const std::set<EndpointId>& excluded, TimePoint now);
    [[nodiscard]] double costOf(const Entry& entry, TimePoint now) const;
    [[nodiscard]] bool isUsable(const Entry& entry) const;
    [[nodiscard]] Entry entryOf(const registry::EndpointRecord& record) const;
    void trimLeaving();

    DataCentreName m_own;
    std::map<EndpointId, Entry> m_entries;
    std::map<EndpointId, std::uint64_t> m_leaving; ///< Start times of the incarnations. Outlives the known endpoints.
};

}
