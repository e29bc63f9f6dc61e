#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/registry/commands.hpp"

namespace azurepaddle::execution {

/// Decides when the leader may take the right to send orders from an earlier holder, so that orders of two holders never
/// come within one lease. A holder records on the log that it begins to send and that no order is on its way any more; an
/// instance that saw the second record knows that the earlier orders are at least that old.
class OrderRight {
public:
    explicit OrderRight(Duration lease)
        : m_lease(lease)
    {
    }

    /// Notes the agreed record. Called often on every instance: the time of a change is when it was first seen here, which
    /// is never before the change itself.
    void observe(const registry::OrderRecord& record, TimePoint now);
    /// Notes that this instance begins to lead.
    void onElected(TimePoint now) { m_leadingSince = now; }
    /// Whether the instance may claim the right now.
    [[nodiscard]] bool mayClaim(const std::string& instance, TimePoint now) const;

private:
    const Duration m_lease;
    registry::OrderRecord m_record;
    bool m_wasObserved = false;
    TimePoint m_changedAt;
    TimePoint m_leadingSince;
};

}
