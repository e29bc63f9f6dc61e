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

/// Corrects the last load report of one endpoint by the requests that this instance sent and finished after the time of
/// the report. The other instances are assumed to have changed the load alike, in proportion to their traffic. Not
/// thread-safe.
class LoadEstimator {
public:
    /// Replaces the last report, unless that one is newer.
    void onReport(const Load& load, TimePoint reportTime);

    /// Adds a request that this instance sent, with its expected tokens.
    void onSent(TimePoint now, double tokens) { recordChange(now, { 1, tokens }); }

    /// Subtracts tokens that this instance received.
    void onTokens(TimePoint now, double tokens) { recordChange(now, { 0, -tokens }); }

    /// Removes a request of this instance that ended, with the expected tokens that were not generated.
    void onEnded(TimePoint now, double remainingTokens) { recordChange(now, { -1, -remainingTokens }); }

    /// The estimated current load. `scale` multiplies the changes made by this instance to account for all instances.
    [[nodiscard]] Load estimate(double scale) const noexcept;

    /// An upper bound of the requests running or queued. A net decrease by this instance is not extrapolated to the
    /// other instances, so that an instance does not claim further slots because it has just freed one itself.
    [[nodiscard]] double requestsUpperBound(double scale) const noexcept;

    /// The load that this instance has in progress at the endpoint.
    [[nodiscard]] const Load& inProgress() const noexcept { return m_inProgress; }

private:
    struct Change {
        TimePoint time;
        Load load;
    };

    void recordChange(TimePoint now, const Load& load);
    /// Merges the changes in pairs, to bound their number.
    void compact();

    Load m_report;
    TimePoint m_reportTime {};
    Load m_inProgress;
    Load m_changeSinceReport;
    std::vector<Change> m_changes;
};

}
