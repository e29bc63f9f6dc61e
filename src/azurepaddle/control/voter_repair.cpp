#include "azurepaddle/control/voter_repair.hpp"

#include <algorithm>

namespace azurepaddle::control {

namespace {

    // Several heartbeats. A restart of the same identity may take longer, but then no other identity of its name votes.
    constexpr Duration lostAfter = std::chrono::milliseconds(1200);

}

std::optional<InstanceId> findReplacedVoter(const std::vector<VoterView>& voters, TimePoint now)
{
    const auto replaced = std::find_if(voters.begin(), voters.end(), [&](const VoterView& voter) {
        const bool isSilent = now - voter.contact > lostAfter;
        return isSilent && std::any_of(voters.begin(), voters.end(), [&](const VoterView& other) {
            return other.identity != voter.identity && other.instance == voter.instance && now - other.contact <= lostAfter;
        });
    });
    return replaced == voters.end() ? std::nullopt : std::optional(replaced->identity);
}

}
