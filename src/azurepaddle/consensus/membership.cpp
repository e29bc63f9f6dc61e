#include "azurepaddle/consensus/membership.hpp"

#include <algorithm>

namespace azurepaddle::consensus {

std::optional<Membership> applyChange(const Membership& membership, const MembershipChange& change)
{
    Membership result = membership;
    switch (change.kind) {
    case ChangeKind::AddLearner:
        if (change.node.empty() || membership.contains(change.node))
            return std::nullopt;
        result.learners.insert(change.node);
        return result;
    case ChangeKind::PromoteLearner:
        if (result.learners.erase(change.node) == 0)
            return std::nullopt;
        result.voters.insert(change.node);
        return result;
    case ChangeKind::Remove:
        if (result.voters.erase(change.node) + result.learners.erase(change.node) == 0 || result.voters.empty())
            return std::nullopt;
        return result;
    }
    return std::nullopt;
}

std::size_t quorumSize(const Membership& membership) noexcept
{
    return membership.voters.size() / 2 + 1;
}

bool hasQuorum(const Membership& membership, const std::function<bool(const InstanceId&)>& condition)
{
    const auto count = std::count_if(membership.voters.begin(), membership.voters.end(), condition);
    return static_cast<std::size_t>(count) >= quorumSize(membership);
}

}
