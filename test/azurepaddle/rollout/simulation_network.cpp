#include "azurepaddle/rollout/simulation.hpp"

namespace azurepaddle::rollout::test {

using namespace std::chrono_literals;

namespace {

    /// Removes and returns one message that has arrived, if any.
    template <typename Message>
    std::optional<Message> takeArrived(std::deque<Message>& messages, TimePoint now)
    {
        for (auto message = messages.begin(); message != messages.end(); ++message) {
            if (message->arrives > now)
                continue;
            Message taken = std::move(*message);
            messages.erase(message);
            return taken;
        }
        return std::nullopt;
    }

}

void Simulation::deliverCalls()
{
    while (auto call = takeArrived(m_calls, m_now)) {
        const bool isPreviousOwner = m_owners.size() > 1 && m_random.chance(0.2);
        handleCall(isPreviousOwner ? m_owners.size() - 2 : m_owners.size() - 1, call->request);
    }
}

void Simulation::handleCall(std::size_t index, const PullRequest& request)
{
    Owner& owner = *m_owners[index];
    if (owner.scheduler.needsReload() && !owner.scheduler.isFenced())
        owner.scheduler.reload(record(), m_now);
    PullDecision decision = owner.scheduler.planPull(request, m_now);
    if (auto* const plan = std::get_if<HandOffPlan>(&decision)) {
        owner.pendingPlan = *plan;
        const control::CommandId id("pull-" + std::to_string(++m_commands));
        // The command may be applied late, and its client may send it again.
        m_commits.push_back({ index, *plan, id, randomTimeWithin(m_random.chance(0.1) ? 1'500 : 20) });
        if (m_random.chance(0.1))
            m_commits.push_back({ index, *plan, id, randomTimeWithin(1'500) });
        return;
    }
    if (!m_random.chance(0.1))
        m_answers.push_back({ std::get<PullReply>(decision), randomTimeWithin(20) });
}

void Simulation::deliverCommits()
{
    while (auto commit = takeArrived(m_commits, m_now))
        applyCommit(*commit);
    // A client times out at random; the outcome of its command is then unknown.
    for (const auto& owner : m_owners) {
        if (!owner->pendingPlan || !m_random.chance(0.02))
            continue;
        owner->pendingPlan.reset();
        owner->scheduler.abandonPull();
    }
}

void Simulation::applyCommit(const Commit& commit)
{
    const control::RunReply reply = apply(commit.id, commit.plan.record);
    if (reply.status == control::RunStatus::Recorded)
        m_voided += commit.plan.record.voided.size();
    Owner& owner = *m_owners[commit.owner];
    if (m_random.chance(0.05))
        return;
    const PullReply answer = owner.scheduler.completePull(commit.plan, reply, m_now);
    if (owner.pendingPlan && owner.pendingPlan->request == commit.plan.request)
        owner.pendingPlan.reset();
    if (m_random.chance(0.1))
        return;
    m_answers.push_back({ answer, randomTimeWithin(m_random.chance(0.2) ? 800 : 20) });
}

void Simulation::deliverAnswers()
{
    while (auto answer = takeArrived(m_answers, m_now)) {
        const PullReply& reply = answer->reply;
        // The trainer drops replies to older pulls and replies whose staleness was checked against an older trainer
        // version.
        if (reply.pull != m_pull || reply.version < m_trainer.version)
            continue;
        if (reply.status == PullStatus::Samples)
            accept(reply);
        else if (reply.status == PullStatus::CursorBehind)
            resetRun();
        require(reply.status != PullStatus::CursorInvalid, "the trainer's cursor was rejected: " + reply.detail);
    }
}

bool Simulation::isStepComplete(std::uint64_t step) const
{
    for (std::uint32_t group = 0; group < groupsPerStep; ++group) {
        for (std::uint32_t index = 0; index < samplesPerGroup; ++index) {
            if (!m_trainer.accepted.contains({ GroupId(std::to_string(step) + "." + std::to_string(group)), index }))
                return false;
        }
    }
    return true;
}

void Simulation::accept(const PullReply& reply)
{
    require(reply.cursor == m_trainer.cursor, "the cursor of the reply differs from the trainer's cursor");
    std::map<GroupId, std::uint32_t> counts;
    Sequence last = m_trainer.cursor;
    for (const HandOffSample& sample : reply.samples) {
        require(sample.sequence > last, "sequence numbers do not increase");
        last = sample.sequence;
        const auto oldest = std::stoull(sample.body->text);
        require(oldest + stalenessBound >= m_trainer.version, "a sample exceeds the staleness bound");
        require(sample.versions.oldest == oldest && sample.versions.newest <= m_trainer.version, "the version labels of a sample are wrong");
        require(sample.score.has_value() == m_isScored, "a sample was handed off without its score");
        require(m_trainer.accepted.insert(sample.key).second, fmt::format("sample {}/{} reached the trainer twice", sample.key.group, sample.key.index));
        ++counts[sample.key.group];
    }
    for (const auto& [group, count] : counts)
        require(count == samplesPerGroup, "a group was handed off partially");
    require(reply.nextCursor == last, "the next cursor is not the last sequence number of the reply");
    m_trainer.cursor = last;
    m_pulledAt = {};
    // A duplicate of this reply is then no longer a reply to the current pull.
    ++m_pull;
    while (m_trainer.step <= steps && isStepComplete(m_trainer.step))
        ++m_trainer.step;
}

}
