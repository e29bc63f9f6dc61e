#pragma once

#include "azurepaddle/core/clock.hpp"

#include <algorithm>

namespace azurepaddle::weights {

/// Token bucket over the bytes read from the weight store. Starts full; holds what one second or one transfer takes.
class StoreLimit {
public:
    StoreLimit(double bytesPerSecond, double bytesPerTransfer) noexcept
        : m_rate(bytesPerSecond)
        , m_cost(bytesPerTransfer)
        , m_tokens(std::max(bytesPerSecond, bytesPerTransfer))
    {
    }

    /// True if a transfer may start now; its bytes are then taken.
    [[nodiscard]] bool tryTake(TimePoint now) noexcept
    {
        const double seconds = std::chrono::duration<double>(std::max(now - m_filled, Duration::zero())).count();
        m_tokens = std::min(std::max(m_rate, m_cost), m_tokens + seconds * m_rate);
        m_filled = std::max(m_filled, now);
        if (m_tokens < m_cost)
            return false;
        m_tokens -= m_cost;
        return true;
    }

private:
    double m_rate;
    double m_cost;
    double m_tokens;
    TimePoint m_filled {};
};

}
