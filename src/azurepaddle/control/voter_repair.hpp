#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/ident.hpp"

#include <optional>
#include <vector>

namespace azurepaddle::control {

/// A voter as the leader sees it.
struct VoterView {
    InstanceId identity;
    std::string instance; ///< Its name, which an identity that replaces it shares.
    TimePoint contact; ///< When it was last heard of; now for the leader itself.

    friend bool operator==(const VoterView&, const VoterView&) = default;
};

/// The voter that another identity of its instance has replaced, or nothing. Only silence tells which of the two is lost:
/// the lost one may miss few entries of the log, and the other one may just be about to receive the newest.
[[nodiscard]] std::optional<InstanceId> findReplacedVoter(const std::vector<VoterView>& voters, TimePoint now);

}
