#pragma once

#include "azurepaddle/codec/codec.hpp"
#include "azurepaddle/core/ident.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>

namespace azurepaddle::consensus {

/// The participants of a group. Voters form quorums; learners only receive the log.
struct Membership {
    std::set<InstanceId> voters;
    std::set<InstanceId> learners;

    [[nodiscard]] bool contains(const InstanceId& id) const { return voters.contains(id) || learners.contains(id); }

    friend bool operator==(const Membership&, const Membership&) = default;
    MSGPACK_DEFINE(voters, learners)
};

enum class ChangeKind : std::uint8_t {
    AddLearner,
    PromoteLearner,
    Remove,
};

/// Adds, promotes or removes one participant. Every quorum before the change shares a voter with every quorum after it.
struct MembershipChange {
    ChangeKind kind = ChangeKind::AddLearner;
    InstanceId node;

    friend bool operator==(const MembershipChange&, const MembershipChange&) = default;
};

/// Returns the membership after the change, or nothing if the change does not apply or would remove the last voter.
[[nodiscard]] std::optional<Membership> applyChange(const Membership& membership, const MembershipChange& change);

/// Number of voters in a majority.
[[nodiscard]] std::size_t quorumSize(const Membership& membership) noexcept;

/// Returns whether a majority of the voters satisfies the condition; false without voters.
[[nodiscard]] bool hasQuorum(const Membership& membership, const std::function<bool(const InstanceId&)>& condition);

/// Returns the highest value that a majority of the voters has reached, or a default-constructed value without voters.
template <typename Value, typename ValueOf>
[[nodiscard]] Value quorumValue(const Membership& membership, ValueOf valueOf)
{
    std::multiset<Value, std::greater<>> values;
    for (const InstanceId& voter : membership.voters)
        values.insert(valueOf(voter));
    if (values.empty())
        return Value {};
    return *std::next(values.begin(), static_cast<std::ptrdiff_t>(quorumSize(membership) - 1));
}

}
