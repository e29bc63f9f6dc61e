#pragma once

#include "azurepaddle/consensus/windowed_maximum.hpp"

namespace azurepaddle::consensus {

/// Estimates the one-way delay of messages from one sender without a common clock: a delay is measured relative to the
/// fastest recent message. The fastest one is determined anew for each time window, because clocks drift.
class MessageDelay {
public:
    /// Records a message and returns its estimated delay.
    Duration recordMessage(Duration sentAt, TimePoint receivedAt)
    {
        const Duration offset = receivedAt.time_since_epoch() - sentAt;
        return offset + m_maxLead.record(-offset, receivedAt);
    }

    /// Discards all measurements, for use with another sender.
    void reset() { m_maxLead.reset(); }

private:
    WindowedMaximum m_maxLead; ///< Difference between send and receive time, which is largest for the fastest message.
};

}
