#include "azurepaddle/cluster/membership_plan.hpp"

#include <algorithm>

namespace azurepaddle::cluster {

namespace {

    using consensus::ChangeKind;
    using consensus::MembershipChange;

    /// Whether another participant at the same address has answered since the last contact with the member. The data
    /// folder of the member is lost then, so it will never vote again.
    bool isSuperseded(const MemberView& member, const std::vector<MemberView>& members)
    {
        return !member.isSelf && std::any_of(members.begin(), members.end(), [&](const MemberView& other) {
            return other.id != member.id && other.address == member.address && other.timeSinceAcknowledgement && *other.timeSinceAcknowledgement < member.timeSinceContact;
        });
    }

    bool isLive(const MemberView& member, const std::vector<MemberView>& members, const MembershipPolicy& policy)
    {
        return member.isSelf || (member.timeSinceContact < policy.failureTimeout && !isSuperseded(member, members));
    }

    std::size_t countVoters(const std::vector<MemberView>& members)
    {
        return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [](const MemberView& member) { return member.isVoter; }));
    }

    std::size_t quorumOf(std::size_t voters)
    {
        return voters / 2 + 1;
    }

    /// Whether the live voters reach the quorum of the remaining ones after a removal.
    bool canCommitRemovalOf(const MemberView& removed, const std::vector<MemberView>& members, const MembershipPolicy& policy)
    {
        const auto live = std::count_if(members.begin(), members.end(), [&](const MemberView& member) {
            return member.isVoter && member.id != removed.id && isLive(member, members, policy);
        });
        return static_cast<std::size_t>(live) >= quorumOf(countVoters(members) - 1);
    }

    std::optional<MembershipChange> planLearnerRemoval(const std::vector<MemberView>& members, const MembershipPolicy& policy)
    {
        for (const MemberView& member : members) {
            if (!member.isVoter && (member.isRetiring || member.timeSinceContact > policy.learnerRemovalTimeout || isSuperseded(member, members)))
                return MembershipChange { ChangeKind::Remove, member.id };
        }
        return std::nullopt;
    }

    /// Returns the learner to promote if there are too few active voters, or null.
    const MemberView* findReplacement(const std::vector<MemberView>& members, const MembershipPolicy& policy)
    {
        const auto activeVoters = std::count_if(members.begin(), members.end(),
            [&](const MemberView& member) { return member.isVoter && !member.isRetiring && isLive(member, members, policy); });
        if (static_cast<std::size_t>(activeVoters) >= policy.targetVoters)
            return nullptr;
        const MemberView* best = nullptr;
        for (const MemberView& member : members) {
            const bool answers = member.timeSinceAcknowledgement && *member.timeSinceAcknowledgement < policy.promotionContactTimeout;
            const bool isReady = !member.isVoter && !member.isRetiring && answers && isLive(member, members, policy) && member.lag && *member.lag <= policy.maxPromotionLag;
            if (isReady && (!best || *member.lag < *best->lag))
                best = &member;
        }
        return best;
    }

    /// Whether the learner may be the successor of the failed voter, so that both may be lost as one machine.
    bool maySucceed(const MemberView& learner, const MemberView& failed, const std::vector<MemberView>& members)
    {
        return isSuperseded(failed, members) || !failed.timeSinceAcknowledgement || learner.trackedFor < *failed.timeSinceAcknowledgement;
    }

    /// Returns the failed voter that has to be removed before the learner is promoted, or null. With an even number of
    /// voters the promotion does not raise the quorum, so the order does not matter.
    const MemberView* findVoterToRemoveBefore(const MemberView& learner, const std::vector<MemberView>& members, const MembershipPolicy& policy)
    {
        if (countVoters(members) % 2 == 0)
            return nullptr;
        const auto found = std::find_if(members.begin(), members.end(), [&](const MemberView& member) {
            return member.isVoter && !isLive(member, members, policy) && maySucceed(learner, member, members);
        });
        return found == members.end() ? nullptr : &*found;
    }

    std::optional<MembershipChange> planReplacement(const std::vector<MemberView>& members, const MembershipPolicy& policy)
    {
        const MemberView* learner = findReplacement(members, policy);
        if (!learner)
            return std::nullopt;
        const MemberView* failed = findVoterToRemoveBefore(*learner, members, policy);
        if (!failed)
            return MembershipChange { ChangeKind::PromoteLearner, learner->id };
        if (!canCommitRemovalOf(*failed, members, policy))
            return std::nullopt;
        return MembershipChange { ChangeKind::Remove, failed->id };
    }

    enum class RemovalRank : std::uint8_t {
        Superseded,
        Failed,
        Retiring,
        RetiringLeader,
        Healthy,
        Kept, ///< The leader, unless it retires.
    };

    /// Returns the rank of a voter for removal. The voter with the lowest rank is removed first.
    RemovalRank removalRank(const MemberView& member, const std::vector<MemberView>& members, const MembershipPolicy& policy)
    {
        if (member.isSelf)
            return member.isRetiring ? RemovalRank::RetiringLeader : RemovalRank::Kept;
        if (isSuperseded(member, members))
            return RemovalRank::Superseded;
        if (!isLive(member, members, policy))
            return RemovalRank::Failed;
        return member.isRetiring ? RemovalRank::Retiring : RemovalRank::Healthy;
    }

    std::optional<MembershipChange> planRemoval(const std::vector<MemberView>& members, const MembershipPolicy& policy)
    {
        if (countVoters(members) <= policy.targetVoters)
            return std::nullopt;
        const MemberView* removed = nullptr;
        RemovalRank removedRank = RemovalRank::Kept;
        for (const MemberView& member : members) {
            if (!member.isVoter)
                continue;
            const RemovalRank rank = removalRank(member, members, policy);
            if (rank < removedRank || (rank == removedRank && removed && member.lag.value_or(0) > removed->lag.value_or(0))) {
                removed = &member;
                removedRank = rank;
            }
        }
        if (!removed || removed->isSelf || !canCommitRemovalOf(*removed, members, policy))
            return std::nullopt;
        return MembershipChange { ChangeKind::Remove, removed->id };
    }

}

bool canJoin(const std::vector<MemberView>& members, const InstanceAddress& address, const MembershipPolicy& policy)
{
    const auto activeMembers = std::count_if(members.begin(), members.end(), [&](const MemberView& member) {
        return isLive(member, members, policy) && !member.isRetiring && member.address != address;
    });
    return static_cast<std::size_t>(activeMembers) < policy.targetVoters + policy.standbyLearners;
}

std::optional<consensus::MembershipChange> planMembership(const std::vector<MemberView>& members, const MembershipPolicy& policy)
{
    if (auto change = planReplacement(members, policy))
        return change;
    if (auto change = planRemoval(members, policy))
        return change;
    return planLearnerRemoval(members, policy);
}

}
