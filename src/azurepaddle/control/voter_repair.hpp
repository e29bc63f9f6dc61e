#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/ident.hpp"

#include <optional>
#include <vector>

namespace azurepaddle::control {

/// A participant and the time of its last contact with the leader.
struct ParticipantContact {
    InstanceId identity;
    std::string instanceName; ///< Name of the instance; an identity that replaces this one has the same.
    TimePoint lastContact; ///< When the leader last received a message from it; the current time for the leader itself.

    friend bool operator==(const ParticipantContact&, const ParticipantContact&) = default;
};

/// Finds an unreachable participant that is replaced by a reachable one of the same instance. Only the last contact
/// shows which of the two is lost: the lost one may lack only a few log entries, and its replacement may lack the newest
/// ones as well.
[[nodiscard]] std::optional<InstanceId> findReplacedParticipant(const std::vector<ParticipantContact>& participants, TimePoint now);

/// Whether a learner may become a voter: it is reachable, and no voter of the same instance remains. The lost identity of
/// the instance is removed first, because it would count for the quorum and never vote again.
[[nodiscard]] bool mayPromote(const ParticipantContact& learner, const std::vector<ParticipantContact>& voters, TimePoint now);

}
