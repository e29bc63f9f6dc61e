#include "azurepaddle/execution/order_right.hpp"

namespace azurepaddle::execution {

namespace {

    // An unanswered order may reach its endpoint up to this long after the lease of its holder has expired.
    constexpr Duration lateOrderMargin = std::chrono::milliseconds(500);
    // Allows for clocks of two instances that run at slightly different rates.
    constexpr Duration clockMargin = std::chrono::milliseconds(100);

}

void OrderRight::observe(const registry::OrderRecord& record, TimePoint now)
{
    if (m_wasObserved && record.changes == m_record.changes)
        return;
    m_wasObserved = true;
    m_record = record;
    m_changedAt = now;
}

bool OrderRight::mayClaim(const std::string& instance, TimePoint now) const
{
    const std::string& holder = m_record.holder.instance;
    if (holder.empty() || holder == instance)
        return true;
    // With an open window, the holder may have sent orders until this instance was elected.
    return m_record.isOpen ? now >= m_leadingSince + m_lease + lateOrderMargin : now >= m_changedAt + m_lease + clockMargin;
}

}
