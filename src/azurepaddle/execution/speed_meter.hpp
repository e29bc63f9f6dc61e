#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/ident.hpp"

#include <map>

namespace azurepaddle::execution {

/// Estimates the current generation speed of endpoints from the time between consecutive events of an item and from the
/// load that endpoints report. Each endpoint is compared with the median, so that a slowdown of all endpoints marks
/// none of them as slow.
class SpeedMeter {
public:
    /// Adds an observed time between two consecutive events of an item at an endpoint.
    void recordEventInterval(const EndpointId& id, Duration betweenEvents, TimePoint now);
    /// Sets the slowness that an endpoint reports: how long its work takes relative to its usual duration.
    void recordReportedSlowness(const EndpointId& id, double slowness, TimePoint now);

    /// Returns the current slowness of an endpoint; 1 is normal and higher is slower. This is the endpoint's recent
    /// report, or, if an observation is newer, the time between two events relative to the median over endpoints.
    /// Endpoints without a recent report or observation count as slightly slow, so that endpoints known to be fast are
    /// preferred.
    [[nodiscard]] double slowness(const EndpointId& id, TimePoint now) const;
    /// Returns the median over endpoints of the time between two events.
    [[nodiscard]] Duration median(TimePoint now) const;

private:
    struct Entry {
        double averageMs = 0; ///< 0 until the first observation.
        TimePoint observedAt;
        double reported = 1;
        TimePoint reportedAt;
    };

    /// The median at one point in time, cached because all endpoints are compared with it at that time.
    struct CachedMedian {
        TimePoint computedAt;
        Duration median {};
    };

    std::map<EndpointId, Entry> m_entries;
    mutable CachedMedian m_cachedMedian;
};

}
