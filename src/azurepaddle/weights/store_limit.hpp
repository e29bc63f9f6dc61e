#pragma once

#include "azurepaddle/core/clock.hpp"

#include <algorithm>

namespace azurepaddle::weights {

/// Token bucket that limits the bytes read from the weight store. Starts full; its capacity is the larger of one
/// second at the rate and one transfer.
class StoreRateLimiter {
public:
    StoreRateLimiter(double bytesPerSecond, double bytesPerTransfer) noexcept
        : m_bytesPerSecond(bytesPerSecond)
        , m_transferBytes(bytesPerTransfer)
        , m_availableBytes(std::max(bytesPerSecond, bytesPerTransfer))
    {
    }

    /// Returns true and consumes the bytes of a transfer if the transfer may start now.
    [[nodiscard]] bool tryAcquire(TimePoint now) noexcept
    {
        const double seconds = std::chrono::duration<double>(std::max(now - m_refilledAt, Duration::zero())).count();
        m_availableBytes = std::min(std::max(m_bytesPerSecond, m_transferBytes), m_availableBytes + seconds * m_bytesPerSecond);
        m_refilledAt = std::max(m_refilledAt, now);
        if (m_availableBytes < m_transferBytes)
            return false;
        m_availableBytes -= m_transferBytes;
        return true;
    }

private:
    double m_bytesPerSecond;
    double m_transferBytes;
    double m_availableBytes;
    TimePoint m_refilledAt {};
};

}
