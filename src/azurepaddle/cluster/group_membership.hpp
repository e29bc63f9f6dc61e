#pragma once

#include "azurepaddle/cluster/group.hpp"

#include <algorithm>

namespace azurepaddle::cluster {

namespace internal {

    constexpr Duration maintenanceInterval = std::chrono::milliseconds(200);
    constexpr Duration introduceDeadline = std::chrono::milliseconds(500);
    // A declined instance repeats its join request several times within this time.
    constexpr Duration declinedLifetime = std::chrono::seconds(3);
    // A participant without a known leader for this long starts discovery, because it may have been removed from the
    // group.
    constexpr Duration leaderlessTimeout = std::chrono::milliseconds(1500);
    // Interval at which the leader announces the group to instances that may not have its description.
    constexpr Duration announceInterval = std::chrono::seconds(1);
    // Requesters receive the group in the reply. Those without a request within this time are no longer sent
    // announcements.
    constexpr Duration requesterLifetime = std::chrono::minutes(10);
    constexpr std::size_t maxRequesters = 256;

}

template <typename Machine>
void Group<Machine>::runMaintenance()
{
    const TimePoint now = m_clock.now();
    m_nextMaintenance = now + internal::maintenanceInterval;
    if (isLeader()) {
        m_lastLeaderSeen = now;
        announceGroup();
        return planChange();
    }
    if (!m_node->leader().empty())
        m_lastLeaderSeen = now;
    if (!m_node->membership().contains(m_identity) || now - m_lastLeaderSeen > internal::leaderlessTimeout)
        discoverGroup();
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

/// Sends introduce requests to all seeds and known participants.
template <typename Machine>
void Group<Machine>::discoverGroup()
{
    bootstrapIfSeedsEmpty();
    m_introduceReplies.clear();
    std::set<InstanceAddress> targets(m_seeds.begin(), m_seeds.end());
    for (const MemberIdentity& member : members())
        targets.insert(member.address);
    sendIntroduceRequests(targets);
}

/// Announces the group to the seeds and to instances that sent introduce requests earlier but have stopped. After a
/// restart, such instances have only the addresses of their seeds, which may hold no log either.
template <typename Machine>
void Group<Machine>::announceGroup()
{
    const TimePoint now = m_clock.now();
    if (now < m_nextAnnouncement)
        return;
    m_nextAnnouncement = now + internal::announceInterval;
    std::erase_if(m_requesters, [now](const auto& requester) { return now - requester.second > internal::requesterLifetime; });
    std::set<InstanceAddress> targets(m_seeds.begin(), m_seeds.end());
    for (const auto& [address, requestedAt] : m_requesters) {
        if (now - requestedAt < internal::announceInterval)
            targets.erase(address);
        else
            targets.insert(address);
    }
    for (const MemberIdentity& member : members())
        targets.erase(member.address);
    sendIntroduceRequests(targets);
}

template <typename Machine>
void Group<Machine>::recordIntroduceRequest(const InstanceId& identity)
{
    const auto parts = parseIdentity(identity);
    if (parts && (m_requesters.size() < internal::maxRequesters || m_requesters.contains(parts->address)))
        m_requesters[parts->address] = m_clock.now();
}

/// Stores a description of the group received from another instance, unless it is older than the stored one.
template <typename Machine>
void Group<Machine>::updateKnownGroup(const control::KnownGroup& view)
{
    if (view.membership.voters.empty() || view.commitIndex < m_knownGroup.commitIndex)
        return;
    if (m_knownGroup.membership.voters.empty() && !isParticipant())
        m_log.info("discovered a group: {} voters, leader={}", view.membership.voters.size(), view.leader);
    m_knownGroup = view;
}

/// Returns the description of the group that this instance sends to others: the newest committed membership if it is a
/// participant, or the newest one while none is committed; otherwise the one it received. A participant that was removed
/// without receiving the change also sends the one it received.
template <typename Machine>
control::KnownGroup Group<Machine>::knownGroup() const
{
    const auto status = m_node->status();
    const bool isRemoved = m_knownGroup.commitIndex > status.commitIndex && !m_knownGroup.membership.contains(m_identity);
    if (!isParticipant() || isRemoved)
        return m_knownGroup;
    const consensus::Membership& committed = m_node->committedMembership();
    return { committed.voters.empty() ? status.membership : committed, status.leader, status.commitIndex };
}

template <typename Machine>
control::IntroduceReply Group<Machine>::makeIntroduceReply() const
{
    const control::KnownGroup known = knownGroup();
    const bool isEmpty = m_node->status().lastIndex == 0 && known.membership.voters.empty();
    return { m_identity, isEmpty, known.membership, known.leader, known.commitIndex };
}

template <typename Machine>
void Group<Machine>::sendIntroduceRequests(const std::set<InstanceAddress>& addresses)
{
    const std::string request = codec::encode(control::IntroduceRequest { m_identity, knownGroup() });
    for (const InstanceAddress& address : addresses) {
        if (address == m_options.address)
            continue;
        m_client.send(address, "introduce", request, m_clock.now() + internal::introduceDeadline, [this, address](const transport::CallResult& result) {
            if (!result)
                return;
            asio::post(m_io, [this, address, body = *result] {
                if (const auto reply = codec::decode<control::IntroduceReply>(body))
                    handleIntroduceReply(address, *reply);
            });
        });
    }
}

template <typename Machine>
void Group<Machine>::handleIntroduceReply(const InstanceAddress& from, const control::IntroduceReply& reply)
{
    m_introduceReplies[from] = reply;
    if (reply.isFresh)
        return;
    updateKnownGroup(reply.known());
    if (isLeader() || reply.membership.contains(m_identity))
        return;
    const auto leader = parseIdentity(reply.leader);
    if (leader)
        m_client.send(leader->address, "join", codec::encode(control::JoinRequest { m_identity }), m_clock.now() + internal::introduceDeadline);
}

/// Bootstraps the group on the seed with the lowest address once all seeds have replied that they are empty. A group is
/// bootstrapped only once: an instance that lost its disk restarts without mayBootstrap, and an instance that received
/// the description of a group does not bootstrap and no longer replies that it is empty.
template <typename Machine>
void Group<Machine>::bootstrapIfSeedsEmpty()
{
    const auto& seeds = m_seeds;
    const bool isEmpty = makeIntroduceReply().isFresh;
    if (!m_options.mayBootstrap || !isEmpty || seeds.empty() || *std::min_element(seeds.begin(), seeds.end()) != m_options.address)
        return;
    consensus::Membership initialMembership;
    initialMembership.voters.insert(m_identity);
    for (const InstanceAddress& seed : seeds) {
        if (seed == m_options.address)
            continue;
        const auto found = m_introduceReplies.find(seed);
        if (found == m_introduceReplies.end() || !found->second.isFresh)
            return;
        initialMembership.voters.insert(found->second.identity);
    }
    const auto bootstrapped = m_node->bootstrap(initialMembership);
    if (bootstrapped)
        m_log.info("bootstrapped the group with {} voters", initialMembership.voters.size());
    else
        m_log.error("cannot bootstrap the group: {}", bootstrapped.error().message);
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
