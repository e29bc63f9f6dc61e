#include "azurepaddle/control/voter_repair.hpp"

#include <algorithm>

namespace azurepaddle::control {

namespace {

    // Several heartbeat intervals. A restart that keeps the identity may take longer, but then no other participant has
    // the same instance name, so the participant is not removed.
    constexpr Duration unreachableAfter = std::chrono::milliseconds(1200);

    bool isReachable(const ParticipantContact& participant, TimePoint now)
    {
        return now - participant.lastContact <= unreachableAfter;
    }

}

std::optional<InstanceId> findReplacedParticipant(const std::vector<ParticipantContact>& participants, TimePoint now)
{
    const auto replaced = std::find_if(participants.begin(), participants.end(), [&](const ParticipantContact& participant) {
        return !isReachable(participant, now) && std::any_of(participants.begin(), participants.end(), [&](const ParticipantContact& other) {
            return other.identity != participant.identity && other.instanceName == participant.instanceName && isReachable(other, now);
        });
    });
    return replaced == participants.end() ? std::nullopt : std::optional(replaced->identity);
}

bool mayPromote(const ParticipantContact& learner, const std::vector<ParticipantContact>& voters, TimePoint now)
{
    return isReachable(learner, now) && std::none_of(voters.begin(), voters.end(), [&](const ParticipantContact& voter) {
        return voter.instanceName == learner.instanceName;
    });
}

}
