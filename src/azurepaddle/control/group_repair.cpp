#include "azurepaddle/control/group.hpp"

#include <algorithm>

namespace azurepaddle::control {

namespace {

    constexpr Duration maintenanceInterval = std::chrono::milliseconds(300);
    constexpr Duration introduceTimeout = std::chrono::milliseconds(500);

}

std::string ControlGroup::instanceNameOf(const InstanceId& identity)
{
    return identity.value().substr(0, identity.value().rfind('.'));
}

bool ControlGroup::hasEmptyLog() const
{
    return m_node->status().lastIndex == 0;
}

void ControlGroup::maintainMembership(std::unique_lock<std::mutex>& lock)
{
    m_nextMaintenance = m_clock.now() + maintenanceInterval;
    if (m_node->status().role == consensus::RaftRole::Leader)
        return replaceLostVoters();
    if (m_node->status().membership.contains(m_identity))
        return;
    lock.unlock();
    discoverGroup();
    lock.lock();
    m_nextMaintenance = m_clock.now() + maintenanceInterval;
}

/// Bootstraps the group if this instance is the first of the voters and all of them are new; otherwise asks to join. An
/// instance whose data folder lost its content gets a new identity and finds that the other voters already have a log,
/// so it never bootstraps a second group.
void ControlGroup::discoverGroup()
{
    const std::string request = codec::encode(IntroduceRequest { m_identity });
    consensus::Membership initialMembership;
    bool areAllPeersFresh = true;
    bool isMember = false;
    for (const std::string& name : m_options.voters) {
        if (name == m_options.name) {
            initialMembership.voters.insert(m_identity);
            continue;
        }
        const auto peer = m_options.peers.find(name);
        const auto response = peer == m_options.peers.end() ? transport::CallResult(std::string()) : m_client.call(peer->second, "introduce", request, m_clock.now() + introduceTimeout);
        const auto reply = response ? codec::decode<IntroduceReply>(*response) : tl::unexpected(codec::CodecError(codec::CodecErrorCode::Malformed, "no reply"));
        areAllPeersFresh = areAllPeersFresh && reply && reply->isFresh;
        if (!reply)
            continue;
        initialMembership.voters.insert(reply->identity);
        isMember = isMember || reply->membership.contains(m_identity);
        if (!reply->isFresh && !reply->membership.contains(m_identity))
            m_client.send(peer->second, "join", codec::encode(JoinRequest { m_identity }), m_clock.now() + introduceTimeout);
    }
    const bool isBootstrapInstance = !m_options.voters.empty() && m_options.voters.front() == m_options.name;
    const std::lock_guard lock(m_mutex);
    if (!isBootstrapInstance || !areAllPeersFresh || isMember || !hasEmptyLog() || initialMembership.voters.size() != m_options.voters.size())
        return;
    const auto bootstrapped = m_node->bootstrap(initialMembership);
    if (bootstrapped)
        m_log.info("bootstrapped the log group with {} voters", initialMembership.voters.size());
    else
        m_log.error("cannot bootstrap the log group: {}", bootstrapped.error().message);
}

IntroduceReply ControlGroup::handleIntroduce()
{
    const std::lock_guard lock(m_mutex);
    const auto status = m_node->status();
    return { m_identity, hasEmptyLog(), status.membership, status.leader, status.commitIndex };
}

void ControlGroup::addLearner(const InstanceId& identity)
{
    const std::lock_guard lock(m_mutex);
    const auto status = m_node->status();
    const bool isVoterName = std::find(m_options.voters.begin(), m_options.voters.end(), instanceNameOf(identity)) != m_options.voters.end();
    if (status.role != consensus::RaftRole::Leader || status.membership.contains(identity) || !isVoterName)
        return;
    proposeChange(consensus::ChangeKind::AddLearner, identity);
}

std::vector<ParticipantContact> ControlGroup::contactsOf(const std::set<InstanceId>& identities) const
{
    const TimePoint now = m_clock.now();
    std::vector<ParticipantContact> contacts;
    contacts.reserve(identities.size());
    for (const InstanceId& id : identities)
        contacts.push_back({ id, instanceNameOf(id), id == m_identity ? now : m_node->lastContact(id).value_or(now) });
    return contacts;
}

/// Proposes one membership change at a time: the lost identity of an instance is removed once another one of the same
/// instance is reachable, then that one is promoted to a voter when it has caught up. With both identities among the
/// voters, the group would need every other voter, and a second loss of the same instance would stop it for good.
void ControlGroup::replaceLostVoters()
{
    const auto membership = m_node->status().membership;
    const TimePoint now = m_clock.now();
    const auto voters = contactsOf(membership.voters);
    const auto learners = contactsOf(membership.learners);
    auto participants = voters;
    participants.insert(participants.end(), learners.begin(), learners.end());
    if (const auto replaced = findReplacedParticipant(participants, now))
        return proposeChange(consensus::ChangeKind::Remove, *replaced);
    for (const ParticipantContact& learner : learners) {
        const auto entriesBehind = m_node->replicationLag(learner.identity);
        if (entriesBehind && *entriesBehind <= m_options.raft.maxPromotionLag && mayPromote(learner, voters, now))
            return proposeChange(consensus::ChangeKind::PromoteLearner, learner.identity);
    }
}

void ControlGroup::proposeChange(consensus::ChangeKind kind, const InstanceId& node)
{
    const auto position = m_node->proposeChange({ kind, node }, m_clock.now());
    m_hasWork = true;
    const char* name = kind == consensus::ChangeKind::AddLearner ? "add learner" : kind == consensus::ChangeKind::PromoteLearner ? "promote"
                                                                                                                                 : "remove";
    if (position)
        m_log.info("membership change: {} {}", name, node);
    else if (position.error().code != consensus::RaftErrorCode::ChangePending)
        m_log.warning("membership change refused: {} {}: {}", name, node, position.error().message);
}

}
