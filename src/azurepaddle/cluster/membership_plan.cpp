#include "azurepaddle/cluster/membership_plan.hpp"

#include <algorithm>

namespace azurepaddle::cluster {

namespace {

    using consensus::ChangeKind;
    using consensus::MembershipChange;

    bool isLive(const MemberView& member, const MembershipPolicy& policy)
    {
        return member.isSelf || member.silence < policy.deadAfter;
    }

    /// Whether a live participant at the same address shows that this one's data folder is gone.
    bool isSuperseded(const MemberView& member, const std::vector<MemberView>& members, const MembershipPolicy& policy)
    {
        return !isLive(member, policy) && std::any_of(members.begin(), members.end(), [&](const MemberView& other) {
            return other.id != member.id && other.address == member.address && isLive(other, policy);
        });
    }

    std::optional<MembershipChange> planLearners(const std::vector<MemberView>& members, const MembershipPolicy& policy)
    {
        for (const MemberView& member : members) {
            if (!member.isVoter && (member.isRetiring || member.silence > policy.forgetAfter || isSuperseded(member, members, policy)))
                return MembershipChange { ChangeKind::Remove, member.id };
        }
        return std::nullopt;
    }

    std::optional<MembershipChange> planPromotion(const std::vector<MemberView>& members, const MembershipPolicy& policy)
    {
        const auto usefulVoters = std::count_if(members.begin(), members.end(),
            [&](const MemberView& member) { return member.isVoter && !member.isRetiring && isLive(member, policy); });
        if (static_cast<std::size_t>(usefulVoters) >= policy.targetVoters)
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

    /// The lower the rank, the sooner a voter is given up.
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
        const MemberView* worst = nullptr;
        for (const MemberView& member : members) {
            if (!member.isVoter || member.isSelf)
                continue;
            const int rank = removalRank(member, members, policy);
            const int worstRank = worst ? removalRank(*worst, members, policy) : 4;
            if (rank < worstRank || (rank == worstRank && worst && member.lag.value_or(0) > worst->lag.value_or(0)))
                worst = &member;
        }
        if (!worst)
            return std::nullopt;
        return MembershipChange { ChangeKind::Remove, worst->id };
    }

}

bool mayJoin(const std::vector<MemberView>& members, const InstanceAddress& address, const MembershipPolicy& policy)
{
    const auto useful = std::count_if(members.begin(), members.end(), [&](const MemberView& member) {
        return isLive(member, policy) && !member.isRetiring && member.address != address;
    });
    return static_cast<std::size_t>(useful) < policy.targetVoters + policy.spareLearners;
}

std::optional<consensus::MembershipChange> planMembership(const std::vector<MemberView>& members, const MembershipPolicy& policy)
{
    if (auto change = planPromotion(members, policy))
        return change;
    if (auto change = planRemoval(members, policy))
        return change;
    return planLearners(members, policy);
}

}
