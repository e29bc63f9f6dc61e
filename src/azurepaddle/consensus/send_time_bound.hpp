#pragma once

#include "azurepaddle/consensus/windowed_maximum.hpp"

namespace azurepaddle::consensus {

/// Determines on the receiver's clock how long ago the messages of one sender were sent at most. A message that echoes a
/// time of the receiver's clock was sent after that time, which bounds the difference between the two clocks. The bound
/// is determined anew for each time window, because clocks drift.
class SendTimeBound {
public:
    /// Records a message that was sent at `sentAt` on the sender's clock and echoes a time of the receiver's clock.
    /// Returns the latest time of the receiver's clock before which the message cannot have been sent.
    TimePoint recordMessage(Duration sentAt, TimePoint echoed, TimePoint receivedAt)
    {
        return TimePoint(sentAt + m_maxOffset.record(echoed.time_since_epoch() - sentAt, receivedAt));
    }

    /// Discards all measurements, for use with another sender.
    void reset() { m_maxOffset.reset(); }

private:
    WindowedMaximum m_maxOffset; ///< Difference between echoed and send time.
};

}
