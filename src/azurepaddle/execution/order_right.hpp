#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/registry/commands.hpp"

namespace azurepaddle::execution {

/// Decides when the leader may take over the order right (the exclusive right to send weight orders to endpoints) from
/// an earlier holder, so that endpoints never receive orders of two holders within one lease. A holder records in the
/// replicated log that it opens its order window, and that it closes the window because no order is in flight any more.
/// The time since an instance observed the closing record is a lower bound on the age of the earlier orders.
class OrderRight {
public:
    explicit OrderRight(Duration lease)
        : m_lease(lease)
    {
    }

    /// Updates the local copy of the replicated record. Called periodically on every instance: a change is dated to its
    /// first observation by this instance, which is never before the change itself.
    void observe(const registry::OrderRecord& record, TimePoint now);
    /// Sets the time at which this instance became the leader.
    void onElected(TimePoint now) { m_leadingSince = now; }
    /// Whether the instance may claim the order right now.
    [[nodiscard]] bool mayClaim(const std::string& instance, TimePoint now) const;

private:
    const Duration m_lease;
    registry::OrderRecord m_record;
    bool m_wasObserved = false;
    TimePoint m_changedAt;
    TimePoint m_leadingSince;
};

}
