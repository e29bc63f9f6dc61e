#pragma once

#include "azurepaddle/consensus/membership.hpp"
#include "azurepaddle/core/address.hpp"
#include "azurepaddle/core/clock.hpp"

#include <optional>
#include <vector>

namespace azurepaddle::cluster {

/// The leader's view of a participant, including itself.
struct MemberView {
    InstanceId id;
    InstanceAddress address;
    bool isVoter = false;
    bool isSelf = false;
    bool isRetiring = false; ///< An operator retires the participant's instance.
    std::optional<std::uint64_t> lag; ///< Number of entries that the participant lacks; nothing if unknown.
    Duration timeSinceContact {}; ///< Time since the newest acknowledged message to the participant was sent, or since the leader started to send to it if that is later; zero for the leader itself.
    std::optional<Duration> timeSinceAcknowledgement {}; ///< Time since the newest acknowledged message was sent; nothing if this leader has received no acknowledgement. Zero for the leader itself.
    Duration trackedFor {}; ///< Time since the leader started to send to the participant.

    friend bool operator==(const MemberView&, const MemberView&) = default;
};

/// Targets and timeouts for membership changes.
struct MembershipPolicy {
    std::size_t targetVoters = 3; ///< Target number of voters: twice the number of tolerated losses plus one.
    std::size_t standbyLearners = 1; ///< Learners beyond the voters that replicate the log, so that one can replace a failed voter immediately.
    std::uint64_t maxPromotionLag = 64; ///< Maximum number of entries that a learner may lack to be promoted.
    Duration promotionContactTimeout = std::chrono::milliseconds(500); ///< Time without acknowledgement after which a learner is not promoted.
    Duration failureTimeout = std::chrono::milliseconds(1200); ///< Time without contact after which a participant counts as failed.
    Duration learnerRemovalTimeout = std::chrono::seconds(60); ///< Time without contact after which a learner is removed.

    friend bool operator==(const MembershipPolicy&, const MembershipPolicy&) = default;
};

/// Whether an instance at this address may join as a learner. The log is replicated only to the voters and a few
/// standby learners, because each copy costs the leader time and network traffic. The participant at the same address
/// is not counted, so that an instance that lost its disk can replace its former participant.
[[nodiscard]] bool canJoin(const std::vector<MemberView>& members, const InstanceAddress& address, const MembershipPolicy& policy);

/// Returns the next change towards the target number of live voters, or nothing if none is needed or possible.
///
/// Every change can be committed while the participant that it adds is down, unless another participant would have to
/// be lost as well. So a failed voter is removed before its successor is promoted: together they would raise the quorum
/// beyond the voters that remain if the successor fails too. A learner that was a participant while the failed voter
/// still answered is no successor of it, and is promoted first, because the failed voter may have kept its disk.
///
/// A failed voter is removed only when a learner is ready to be promoted or when there are more voters than needed. A
/// leader that retires is never removed by this function: it transfers the leadership first.
[[nodiscard]] std::optional<consensus::MembershipChange> planMembership(const std::vector<MemberView>& members, const MembershipPolicy& policy);

}
