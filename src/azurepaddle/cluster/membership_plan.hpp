#pragma once

#include "azurepaddle/consensus/membership.hpp"
#include "azurepaddle/core/address.hpp"
#include "azurepaddle/core/clock.hpp"

#include <optional>
#include <vector>

namespace azurepaddle::cluster {

/// What the leader knows of a participant, itself included.
struct MemberView {
    InstanceId id;
    InstanceAddress address;
    bool isVoter = false;
    bool isSelf = false;
    bool isRetiring = false; ///< An operator wants its instance emptied.
    std::optional<std::uint64_t> lag; ///< Entries it misses; nothing if unknown.
    Duration silence {}; ///< Since its last sign of life.

    friend bool operator==(const MemberView&, const MemberView&) = default;
};

/// Bounds of the plan.
struct MembershipPolicy {
    std::size_t targetVoters = 3; ///< Wanted number: twice the losses to survive, plus one.
    std::size_t spareLearners = 1; ///< Participants beyond the voters that hold the log, to take the place of one at once.
    std::uint64_t maxPromotionLag = 64; ///< Entries that a learner may miss when it becomes a voter.
    Duration deadAfter = std::chrono::milliseconds(1200); ///< Silence after which a participant counts as lost.
    Duration forgetAfter = std::chrono::seconds(60); ///< Silence after which a learner is removed.

    friend bool operator==(const MembershipPolicy&, const MembershipPolicy&) = default;
};

/// Whether an instance at this address may join as a learner: the log goes only to the voters and a few spare
/// participants, because each copy costs the leader time and traffic. An instance that lost its disk takes its own place.
[[nodiscard]] bool mayJoin(const std::vector<MemberView>& members, const InstanceAddress& address, const MembershipPolicy& policy);

/// The next change that brings the group closer to the wanted number of live voters, or nothing. A lost voter is removed
/// only once a live one has taken its place, so that the group never shrinks below the losses it must survive.
[[nodiscard]] std::optional<consensus::MembershipChange> planMembership(const std::vector<MemberView>& members, const MembershipPolicy& policy);

}
