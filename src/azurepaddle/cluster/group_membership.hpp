#pragma once

#include "azurepaddle/cluster/group.hpp"

#include <algorithm>

namespace azurepaddle::cluster {

namespace internal {

    constexpr Duration maintenanceInterval = std::chrono::milliseconds(200);
    // A declined instance repeats its join request several times within this time.
    constexpr Duration declinedLifetime = std::chrono::seconds(3);
    // A participant without a known leader for this long starts discovery, because it may have been removed from the
    // group.
    constexpr Duration leaderlessTimeout = std::chrono::milliseconds(1500);

}

template <typename Machine>
void Group<Machine>::runMaintenance()
{
    const TimePoint now = m_clock.now();
    m_nextMaintenance = now + internal::maintenanceInterval;
    m_discovery->maintain(now);
    if (isLeader()) {
        m_lastLeaderSeen = now;
        m_discovery->announce(now);
        return planChange();
    }
    if (!m_node->leader().empty())
        m_lastLeaderSeen = now;
    const bool mustDiscover = !isParticipant() || now - m_lastLeaderSeen > internal::leaderlessTimeout;
    if (mustDiscover && m_discovery->discover(now))
        scheduleStep();
}

template <typename Machine>
std::vector<MemberView> Group<Machine>::memberViews() const
{
    const consensus::Membership& membership = m_node->membership();
    const TimePoint now = m_clock.now();
    std::vector<MemberView> views;
    const auto add = [&](const InstanceId& id, bool isVoter) {
        const auto parts = parseIdentity(id);
        const auto contact = m_node->lastContact(id);
        const auto acknowledged = m_node->lastAcknowledgement(id);
        const bool isSelf = id == m_identity;
        MemberView view { id, parts ? parts->address : InstanceAddress {}, isVoter, isSelf, parts && m_retiring.contains(parts->name), m_node->replicationLag(id) };
        view.timeSinceContact = isSelf || !contact ? Duration::zero() : now - *contact;
        if (isSelf || acknowledged)
            view.timeSinceAcknowledgement = isSelf ? Duration::zero() : now - *acknowledged;
        view.trackedFor = now - m_node->trackedSince(id).value_or(now);
        views.push_back(std::move(view));
    };
    for (const InstanceId& id : membership.voters)
        add(id, true);
    for (const InstanceId& id : membership.learners)
        add(id, false);
    return views;
}

template <typename Machine>
void Group<Machine>::planChange()
{
    const auto views = memberViews();
    if (const auto change = planMembership(views, m_options.policy))
        return proposeChange(*change);
    const auto self = std::find_if(views.begin(), views.end(), [](const MemberView& view) { return view.isSelf; });
    const bool isRetiring = self != views.end() && self->isRetiring;
    if (isRetiring || nextSnapshotStep() == SnapshotStep::TransferLeadership)
        relinquishLeadership();
}

template <typename Machine>
void Group<Machine>::proposeChange(const consensus::MembershipChange& change)
{
    constexpr std::array<std::string_view, 3> names { "add learner", "promote", "remove" };
    const std::string_view name = names.at(static_cast<std::size_t>(change.kind));
    const auto position = m_node->proposeChange(change, m_clock.now());
    if (position) {
        m_log.info("membership change: {} {}", name, change.node);
        scheduleStep();
    } else if (position.error().code != consensus::RaftErrorCode::ChangePending) {
        m_log.warning("membership change refused: {} {}: {}", name, change.node, position.error().message);
    }
}

template <typename Machine>
void Group<Machine>::relinquishLeadership()
{
    if (!isLeader())
        return;
    std::vector<MemberView> views = memberViews();
    std::erase_if(views, [&](const MemberView& view) { return !view.isVoter || view.isSelf || view.isRetiring || view.timeSinceContact > m_options.policy.failureTimeout; });
    const auto best = std::min_element(views.begin(), views.end(), [](const MemberView& a, const MemberView& b) { return a.lag.value_or(0) < b.lag.value_or(0); });
    if (best == views.end())
        return;
    if (const auto transferred = m_node->transferLeadership(best->id, m_clock.now()); !transferred)
        m_log.warning("leadership transfer failed: {}", transferred.error().message);
    scheduleStep();
}

template <typename Machine>
std::set<std::string> Group<Machine>::declinedInstances() const
{
    std::set<std::string> names;
    for (const auto& [name, requestedAt] : m_declinedInstances) {
        if (m_clock.now() - requestedAt < internal::declinedLifetime)
            names.insert(name);
    }
    return names;
}

template <typename Machine>
void Group<Machine>::handleJoin(const InstanceId& identity)
{
    const auto parts = parseIdentity(identity);
    if (!isLeader() || m_node->membership().contains(identity) || !parts || m_retiring.contains(parts->name))
        return;
    if (!canJoin(memberViews(), parts->address, m_options.policy)) {
        m_declinedInstances[parts->name] = m_clock.now();
        return;
    }
    m_declinedInstances.erase(parts->name);
    proposeChange({ consensus::ChangeKind::AddLearner, identity });
}

}
