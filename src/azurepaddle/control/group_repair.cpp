#include "azurepaddle/control/group.hpp"
#include "azurepaddle/control/voter_repair.hpp"

#include <algorithm>

namespace azurepaddle::control {

namespace {

    constexpr Duration maintenanceInterval = std::chrono::milliseconds(300);
    constexpr Duration introduceDeadline = std::chrono::milliseconds(500);

}

std::string ControlGroup::nameOf(const InstanceId& identity)
{
    return identity.value().substr(0, identity.value().rfind('.'));
}

bool ControlGroup::isFresh() const
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
    introduce();
    lock.lock();
    m_nextMaintenance = m_clock.now() + maintenanceInterval;
}

/// Founds the group if this is the first of the voters and all of them are new; otherwise asks to be taken in. A folder
/// that lost its content gets a new identity, so it finds the others with a log and never founds again.
void ControlGroup::introduce()
{
    const std::string request = codec::encode(IntroduceRequest { m_identity });
    consensus::Membership founders;
    bool areAllFresh = true;
    bool isKnown = false;
    for (const std::string& name : m_options.voters) {
        if (name == m_options.name) {
            founders.voters.insert(m_identity);
            continue;
        }
        const auto peer = m_options.peers.find(name);
        const auto answered = peer == m_options.peers.end() ? transport::CallResult(std::string()) : m_client.call(peer->second, "introduce", request, m_clock.now() + introduceDeadline);
        const auto reply = answered ? codec::decode<IntroduceReply>(*answered) : tl::unexpected(codec::CodecError(codec::CodecErrorCode::Malformed, "no reply"));
        areAllFresh = areAllFresh && reply && reply->isFresh;
        if (!reply)
            continue;
        founders.voters.insert(reply->identity);
        isKnown = isKnown || reply->membership.contains(m_identity);
        if (!reply->isFresh && !reply->membership.contains(m_identity))
            m_client.send(peer->second, "join", codec::encode(JoinRequest { m_identity }), m_clock.now() + introduceDeadline);
    }
    const bool isFounder = !m_options.voters.empty() && m_options.voters.front() == m_options.name;
    const std::lock_guard lock(m_mutex);
    if (!isFounder || !areAllFresh || isKnown || !isFresh() || founders.voters.size() != m_options.voters.size())
        return;
    const auto founded = m_node->bootstrap(founders);
    if (founded)
        m_log.info("founded the log group with {} voters", founders.voters.size());
    else
        m_log.error("cannot found the log group: {}", founded.error().message);
}

IntroduceReply ControlGroup::answerIntroduce()
{
    const std::lock_guard lock(m_mutex);
    const auto status = m_node->status();
    return { m_identity, isFresh(), status.membership, status.leader, status.commitIndex };
}

void ControlGroup::admitLearner(const InstanceId& identity)
{
    const std::lock_guard lock(m_mutex);
    const auto status = m_node->status();
    const bool isVoterName = std::find(m_options.voters.begin(), m_options.voters.end(), nameOf(identity)) != m_options.voters.end();
    if (status.role != consensus::RaftRole::Leader || status.membership.contains(identity) || !isVoterName)
        return;
    proposeChange(consensus::ChangeKind::AddLearner, identity);
}

/// One change at a time: a learner that has caught up becomes a voter, then the lost identity of the same instance name
/// is removed. A learner that was itself replaced is removed as well.
void ControlGroup::replaceLostVoters()
{
    const auto membership = m_node->status().membership;
    for (const InstanceId& learner : membership.learners) {
        const auto lag = m_node->replicationLag(learner);
        if (lag && *lag <= m_options.raft.maxPromotionLag)
            return proposeChange(consensus::ChangeKind::PromoteLearner, learner);
    }
    const TimePoint now = m_clock.now();
    std::vector<VoterView> voters;
    voters.reserve(membership.voters.size());
    for (const InstanceId& voter : membership.voters)
        voters.push_back({ voter, nameOf(voter), voter == m_identity ? now : m_node->lastContact(voter).value_or(now) });
    if (const auto replaced = findReplacedVoter(voters, now))
        proposeChange(consensus::ChangeKind::Remove, *replaced);
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
