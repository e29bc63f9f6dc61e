#pragma once

#include "azurepaddle/core/clock.hpp"

#include <cstddef>
#include <vector>

namespace azurepaddle::routing {

/// Load of one endpoint: requests running or queued, and tokens still to be generated.
struct Load {
    double requests = 0;
    double tokens = 0;

    friend bool operator==(const Load&, const Load&) = default;
};

/// Corrects the last load report of one endpoint by what this instance sent and finished since the report's time.
/// The same change is assumed at the other instances, in proportion to their traffic. Not thread-safe.
class LoadEstimator {
public:
    /// Replaces the report, unless it is older than the last one.
    void onReport(const Load& load, TimePoint reportTime);

    /// Work sent by this instance.
    void onSent(TimePoint now, double tokens) { change(now, { 1, tokens }); }

    /// Tokens that this instance received.
    void onTokens(TimePoint now, double tokens) { change(now, { 0, -tokens }); }

    /// The end of work of this instance, with the tokens it no longer needs.
    void onEnded(TimePoint now, double remainingTokens) { change(now, { -1, -remainingTokens }); }

    /// The load as estimated now. `scale` multiplies the changes made by this instance to stand for all instances.
    [[nodiscard]] Load estimate(double scale) const noexcept;

    /// Requests running or queued, estimated from above: what this instance ended since the report is assumed of no other
    /// instance, so that an instance does not take a slot because it has just freed one itself.
    [[nodiscard]] double mostRequests(double scale) const noexcept;

    /// What this instance has in progress.
    [[nodiscard]] const Load& own() const noexcept { return m_own; }

private:
    struct Change {
        TimePoint time;
        Load load;
    };

    void change(TimePoint now, const Load& load);
    void compact();

    Load m_report;
    TimePoint m_reportTime {};
    Load m_own;
    Load m_sinceReport;
    std::vector<Change> m_changes;
};

}
