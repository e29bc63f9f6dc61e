#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/ident.hpp"

#include <optional>
#include <vector>

namespace azurepaddle::control {

/// A voter and the time of its last contact with the leader.
struct VoterContact {
    InstanceId identity;
    std::string instanceName; ///< Name of the instance; an identity that replaces this one has the same.
    TimePoint lastContact; ///< When the leader last received a message from it; the current time for the leader itself.

    friend bool operator==(const VoterContact&, const VoterContact&) = default;
};

/// Finds an unreachable voter that is replaced by a reachable one of the same instance. Only the last contact shows
/// which of the two is lost: the lost one may lack only a few log entries, and its replacement may lack the newest ones
/// as well.
[[nodiscard]] std::optional<InstanceId> findReplacedVoter(const std::vector<VoterContact>& voters, TimePoint now);

}
