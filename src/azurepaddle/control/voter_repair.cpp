#include "azurepaddle/control/voter_repair.hpp"

#include <algorithm>

namespace azurepaddle::control {

namespace {

    // Several heartbeat intervals. A restart that keeps the identity may take longer, but then no other voter has the
    // same instance name, so the voter is not removed.
    constexpr Duration unreachableAfter = std::chrono::milliseconds(1200);

}

std::optional<InstanceId> findReplacedVoter(const std::vector<VoterContact>& voters, TimePoint now)
{
    const auto replaced = std::find_if(voters.begin(), voters.end(), [&](const VoterContact& voter) {
        const bool isUnreachable = now - voter.lastContact > unreachableAfter;
        return isUnreachable && std::any_of(voters.begin(), voters.end(), [&](const VoterContact& other) {
            return other.identity != voter.identity && other.instanceName == voter.instanceName && now - other.lastContact <= unreachableAfter;
        });
    });
    return replaced == voters.end() ? std::nullopt : std::optional(replaced->identity);
}

}
