#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/ident.hpp"

#include <map>

namespace azurepaddle::execution {

/// How fast endpoints generate at this moment, by the time between two events of one item and by what they report
/// themselves. Compares each endpoint with the median, so that a slowdown of all of them singles out none.
class SpeedMeter {
public:
    /// Notes the time between two events of an item at an endpoint.
    void recordEventInterval(const EndpointId& id, Duration betweenEvents, TimePoint now);
    /// Notes how long work takes at an endpoint against the usual, as the endpoint says itself.
    void recordReportedSlowness(const EndpointId& id, double slowness, TimePoint now);

    /// Time per event against the median, by the newest observation or report. Endpoints of which nothing recent is
    /// known count as slightly slow, so that one that is known to be fast is preferred.
    [[nodiscard]] double slowness(const EndpointId& id, TimePoint now) const;
    /// The median time between two events.
    [[nodiscard]] Duration median(TimePoint now) const;

private:
    struct Entry {
        double averageMs = 0; ///< 0 until the first observation.
        TimePoint observedAt;
        double reported = 1;
        TimePoint reportedAt;
    };

    /// The median at a time, kept for the comparisons of all endpoints at that time.
    struct CachedMedian {
        TimePoint computedAt;
        Duration median {};
    };

    std::map<EndpointId, Entry> m_entries;
    mutable CachedMedian m_cachedMedian;
};

}
