#pragma once

#include "azurepaddle/cluster/group.hpp"

#include <algorithm>

namespace azurepaddle::cluster {

namespace internal {

    constexpr Duration maintenanceInterval = std::chrono::milliseconds(200);
    constexpr Duration introduceDeadline = std::chrono::milliseconds(500);
    // A spare instance asks to join several times within this time.
    constexpr Duration spareLifetime = std::chrono::seconds(3);
    // Without a leader for this long a participant asks whether it was removed meanwhile.
    constexpr Duration leaderlessTime = std::chrono::milliseconds(1500);
    // The leader makes the group known this often to instances that may not know of it.
    constexpr Duration makeKnownInterval = std::chrono::seconds(1);
    // Instances that asked lately know of the group. Those that have not asked for this long are forgotten.
    constexpr Duration askerLifetime = std::chrono::minutes(10);
    constexpr std::size_t maxAskers = 256;

}

template <typename Machine>
void Group<Machine>::maintain()
{
    const TimePoint now = m_clock.now();
    m_nextMaintenance = now + internal::maintenanceInterval;
    if (isLeader()) {
        m_lastLeader = now;
        makeKnown();
        return planChange();
    }
    if (!m_node->leader().empty())
        m_lastLeader = now;
    if (!m_node->membership().contains(m_identity) || now - m_lastLeader > internal::leaderlessTime)
        lookForGroup();
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
        const bool isSelf = id == m_identity;
        views.push_back({ id, parts ? parts->address : InstanceAddress {}, isVoter, isSelf, parts && m_retiring.contains(parts->name),
            m_node->replicationLag(id), isSelf || !contact ? Duration::zero() : now - *contact });
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
    const auto own = std::find_if(views.begin(), views.end(), [](const MemberView& view) { return view.isSelf; });
    if (own != views.end() && own->isRetiring)
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
    std::erase_if(views, [&](const MemberView& view) { return !view.isVoter || view.isSelf || view.isRetiring || view.silence > m_options.policy.deadAfter; });
    const auto best = std::min_element(views.begin(), views.end(), [](const MemberView& a, const MemberView& b) { return a.lag.value_or(0) < b.lag.value_or(0); });
    if (best == views.end())
        return;
    if (const auto moved = m_node->transferLeadership(best->id, m_clock.now()); !moved)
        m_log.warning("the leadership was not handed over: {}", moved.error().message);
    scheduleStep();
}

/// Asks seeds and known participants who they are.
template <typename Machine>
void Group<Machine>::lookForGroup()
{
    foundIfAllFresh();
    m_introductions.clear();
    std::set<InstanceAddress> asked(m_seeds.begin(), m_seeds.end());
    for (const MemberIdentity& member : members())
        asked.insert(member.address);
    introduceTo(asked);
}

/// Makes the group known to seeds and to instances that asked once and ask no more: after a restart they know their seeds
/// alone, which may hold no log either.
template <typename Machine>
void Group<Machine>::makeKnown()
{
    const TimePoint now = m_clock.now();
    if (now < m_nextMakeKnown)
        return;
    m_nextMakeKnown = now + internal::makeKnownInterval;
    std::erase_if(m_askers, [now](const auto& asker) { return now - asker.second > internal::askerLifetime; });
    std::set<InstanceAddress> unaware(m_seeds.begin(), m_seeds.end());
    for (const auto& [address, askedAt] : m_askers) {
        if (now - askedAt < internal::makeKnownInterval)
            unaware.erase(address);
        else
            unaware.insert(address);
    }
    for (const MemberIdentity& member : members())
        unaware.erase(member.address);
    introduceTo(unaware);
}

template <typename Machine>
void Group<Machine>::noteAsker(const InstanceId& identity)
{
    const auto parts = parseIdentity(identity);
    if (parts && (m_askers.size() < internal::maxAskers || m_askers.contains(parts->address)))
        m_askers[parts->address] = m_clock.now();
}

/// Takes over what another instance knows of the group, if that is newer.
template <typename Machine>
void Group<Machine>::learn(const control::KnownGroup& view)
{
    if (view.membership.voters.empty() || view.commitIndex < m_named.commitIndex)
        return;
    if (m_named.membership.voters.empty() && !isParticipant())
        m_log.info("told of a group: {} voters, leader={}", view.membership.voters.size(), view.leader);
    m_named = view;
}

/// What this instance can tell of the group: as a participant its own view, otherwise what it was told. One that was
/// removed without hearing of it tells what it was told as well.
template <typename Machine>
control::KnownGroup Group<Machine>::knownGroup() const
{
    const auto status = m_node->status();
    const bool isRemoved = m_named.commitIndex > status.commitIndex && !m_named.membership.contains(m_identity);
    if (!isParticipant() || isRemoved)
        return m_named;
    return { status.membership, status.leader, status.commitIndex };
}

template <typename Machine>
control::IntroduceReply Group<Machine>::introduction() const
{
    const control::KnownGroup known = knownGroup();
    const bool isFresh = m_node->status().lastIndex == 0 && known.membership.voters.empty();
    return { m_identity, isFresh, known.membership, known.leader, known.commitIndex };
}

template <typename Machine>
void Group<Machine>::introduceTo(const std::set<InstanceAddress>& addresses)
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
                    takeIntroduction(address, *reply);
            });
        });
    }
}

template <typename Machine>
void Group<Machine>::takeIntroduction(const InstanceAddress& from, const control::IntroduceReply& reply)
{
    m_introductions[from] = reply;
    if (reply.isFresh)
        return;
    learn(reply.known());
    if (isLeader() || reply.membership.contains(m_identity))
        return;
    const auto leader = parseIdentity(reply.leader);
    if (leader)
        m_client.send(leader->address, "join", codec::encode(control::JoinRequest { m_identity }), m_clock.now() + internal::introduceDeadline);
}

/// The seed with the lowest address founds the group, once all seeds have said that they are new. An instance that lost
/// its disk is not told to found, and one that was told of a group does not found and says so, so that a group is founded
/// once.
template <typename Machine>
void Group<Machine>::foundIfAllFresh()
{
    const auto& seeds = m_seeds;
    const bool isFresh = introduction().isFresh;
    if (!m_options.mayBootstrap || !isFresh || seeds.empty() || *std::min_element(seeds.begin(), seeds.end()) != m_options.address)
        return;
    consensus::Membership founders;
    founders.voters.insert(m_identity);
    for (const InstanceAddress& seed : seeds) {
        if (seed == m_options.address)
            continue;
        const auto found = m_introductions.find(seed);
        if (found == m_introductions.end() || !found->second.isFresh)
            return;
        founders.voters.insert(found->second.identity);
    }
    const auto founded = m_node->bootstrap(founders);
    if (founded)
        m_log.info("founded the group with {} voters", founders.voters.size());
    else
        m_log.error("cannot found the group: {}", founded.error().message);
    scheduleStep();
}

template <typename Machine>
std::set<std::string> Group<Machine>::declinedInstances() const
{
    std::set<std::string> names;
    for (const auto& [name, askedAt] : m_spares) {
        if (m_clock.now() - askedAt < internal::spareLifetime)
            names.insert(name);
    }
    return names;
}

template <typename Machine>
void Group<Machine>::admit(const InstanceId& identity)
{
    const auto parts = parseIdentity(identity);
    if (!isLeader() || m_node->membership().contains(identity) || !parts || m_retiring.contains(parts->name))
        return;
    if (!mayJoin(memberViews(), parts->address, m_options.policy)) {
        m_spares[parts->name] = m_clock.now();
        return;
    }
    m_spares.erase(parts->name);
    proposeChange({ consensus::ChangeKind::AddLearner, identity });
}

}
