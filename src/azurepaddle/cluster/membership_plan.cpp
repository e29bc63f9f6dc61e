#include "azurepaddle/cluster/membership_plan.hpp"

#include <algorithm>

namespace azurepaddle::cluster {

namespace {

    using consensus::ChangeKind;
    using consensus::MembershipChange;

    bool isLive(const MemberView& member, const MembershipPolicy& policy)
    {
        return member.isSelf || member.timeSinceContact < policy.failureTimeout;
    }

    /// Whether the participant is replaced by a live one at the same address, which shows that its data folder is lost.
    bool isSuperseded(const MemberView& member, const std::vector<MemberView>& members, const MembershipPolicy& policy)
    {
        return !isLive(member, policy) && std::any_of(members.begin(), members.end(), [&](const MemberView& other) {
            return other.id != member.id && other.address == member.address && isLive(other, policy);
        });
    }

    std::optional<MembershipChange> planLearnerRemoval(const std::vector<MemberView>& members, const MembershipPolicy& policy)
    {
        for (const MemberView& member : members) {
            if (!member.isVoter && (member.isRetiring || member.timeSinceContact > policy.learnerRemovalTimeout || isSuperseded(member, members, policy)))
                return MembershipChange { ChangeKind::Remove, member.id };
        }
        return std::nullopt;
    }

    std::optional<MembershipChange> planPromotion(const std::vector<MemberView>& members, const MembershipPolicy& policy)
    {
        const auto activeVoters = std::count_if(members.begin(), members.end(),
            [&](const MemberView& member) { return member.isVoter && !member.isRetiring && isLive(member, policy); });
        if (static_cast<std::size_t>(activeVoters) >= policy.targetVoters)
            return std::nullopt;
        const MemberView* best = nullptr;
        for (const MemberView& member : members) {
            const bool isReady = !member.isVoter && !member.isRetiring && isLive(member, policy) && member.lag && *member.lag <= policy.maxPromotionLag;
            if (isReady && (!best || *member.lag < *best->lag))
                best = &member;
        }
        if (!best)
            return std::nullopt;
        return MembershipChange { ChangeKind::PromoteLearner, best->id };
    }

    /// Returns the rank of a voter for removal. The voter with the lowest rank is removed first.
    int removalRank(const MemberView& member, const std::vector<MemberView>& members, const MembershipPolicy& policy)
    {
        if (isSuperseded(member, members, policy))
            return 0;
        if (!isLive(member, policy))
            return 1;
        return member.isRetiring ? 2 : 3;
    }

    std::optional<MembershipChange> planRemoval(const std::vector<MemberView>& members, const MembershipPolicy& policy)
    {
        const auto voters = std::count_if(members.begin(), members.end(), [](const MemberView& member) { return member.isVoter; });
        if (static_cast<std::size_t>(voters) <= policy.targetVoters)
            return std::nullopt;
        const MemberView* removed = nullptr;
        for (const MemberView& member : members) {
            if (!member.isVoter || member.isSelf)
                continue;
            const int rank = removalRank(member, members, policy);
            const int removedRank = removed ? removalRank(*removed, members, policy) : 4;
            if (rank < removedRank || (rank == removedRank && removed && member.lag.value_or(0) > removed->lag.value_or(0)))
                removed = &member;
        }
        if (!removed)
            return std::nullopt;
        return MembershipChange { ChangeKind::Remove, removed->id };
    }

}

bool canJoin(const std::vector<MemberView>& members, const InstanceAddress& address, const MembershipPolicy& policy)
{
    const auto activeMembers = std::count_if(members.begin(), members.end(), [&](const MemberView& member) {
        return isLive(member, policy) && !member.isRetiring && member.address != address;
    });
    return static_cast<std::size_t>(activeMembers) < policy.targetVoters + policy.standbyLearners;
}

std::optional<consensus::MembershipChange> planMembership(const std::vector<MemberView>& members, const MembershipPolicy& policy)
{
    if (auto change = planPromotion(members, policy))
        return change;
    if (auto change = planRemoval(members, policy))
        return change;
    return planLearnerRemoval(members, policy);
}

}
