#include "azurepaddle/registry/state_age.hpp"

#include <algorithm>

namespace azurepaddle::registry {

void StateAge::recordReply(TimePoint sentAt, const PollReply& reply, std::uint64_t receivedVersion) noexcept
{
    if (reply.configurationVersion < receivedVersion)
        return;
    const TimePoint confirmed = sentAt + std::chrono::milliseconds(reply.heldMs) - std::chrono::milliseconds(reply.stateAgeMs);
    m_confirmedTime = std::max(m_confirmedTime, confirmed);
}

}
