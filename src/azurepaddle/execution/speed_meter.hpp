#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/ident.hpp"

#include <deque>
#include <map>

namespace azurepaddle::execution {

/// Estimates the generation speed of endpoints from the time between consecutive events of an item and from the load that
/// endpoints report. Two things are told apart: the lasting speed of an endpoint, and slowdowns that pass. Each endpoint is
/// compared with the median, so that a slowdown of all endpoints marks none of them as slow.
class SpeedMeter {
public:
    /// Adds an observed time between two consecutive events of an item at an endpoint.
    void recordEventInterval(const EndpointId& id, Duration betweenEvents, TimePoint now);
    /// Sets the slowness that an endpoint reports: how long its work takes relative to its usual duration.
    void recordReportedSlowness(const EndpointId& id, double slowness, TimePoint now);

    /// Returns the current slowness of an endpoint relative to the median of the lasting speeds; 1 is normal and higher is
    /// slower. This is the endpoint's recent report, or, if an observation is newer, the time between two events. A slowdown
    /// that was observed last is remembered for some seconds and declines. Without any of these it is the lasting
    /// slowness. Endpoints of which nothing is known count as slightly slow, so that endpoints known to be fast are
    /// preferred.
    [[nodiscard]] double slowness(const EndpointId& id, TimePoint now) const;
    /// Returns the slowness of an endpoint without slowdowns that pass; 1 until it is known.
    [[nodiscard]] double lastingSlowness(const EndpointId& id, TimePoint now) const;
    /// Returns for how long an endpoint has been slower than its lasting speed; 0 if it is not.
    [[nodiscard]] Duration slowFor(const EndpointId& id, TimePoint now) const;
    /// Returns the median over endpoints of the time between two events.
    [[nodiscard]] Duration median(TimePoint now) const;

private:
    /// The mean time between events in one period.
    struct Period {
        TimePoint startedAt;
        double sumMs = 0;
        unsigned count = 0;

        [[nodiscard]] double meanMs() const noexcept { return sumMs / count; }
    };

    struct Entry {
        double averageMs = 0; ///< 0 until the first observation.
        TimePoint observedAt;
        double reported = 1;
        TimePoint reportedAt;
        std::deque<Period> periods; ///< Periods with observations, oldest first.
        double lastingMs = 0; ///< Lasting time between events; 0 while it is unknown.
        TimePoint slowSince {}; ///< Zero while the endpoint is not slower than its lasting speed.
    };

    /// The median at one point in time, cached because all endpoints are compared with it at that time.
    struct CachedMedian {
        TimePoint computedAt;
        Duration median {};
    };

    [[nodiscard]] double rememberedSlowness(const Entry& entry, TimePoint now) const;
    static void recordInPeriod(Entry& entry, double ms, TimePoint now);
    [[nodiscard]] double medianMs(TimePoint now) const { return std::chrono::duration<double, std::milli>(median(now)).count(); }

    std::map<EndpointId, Entry> m_entries;
    mutable CachedMedian m_cachedMedian;
};

}
