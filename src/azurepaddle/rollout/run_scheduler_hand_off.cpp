#include "azurepaddle/rollout/run_scheduler.hpp"

#include "azurepaddle/core/invariant.hpp"

#include <algorithm>

namespace azurepaddle::rollout {

using namespace internal;

namespace {

    /// Retry delay sent to a trainer when no samples are ready or another hand-off is being recorded.
    constexpr Duration pullRetryDelay = std::chrono::milliseconds(100);

    PullStatus statusOf(control::RunStatus status)
    {
        switch (status) {
        case control::RunStatus::NotOwner:
        case control::RunStatus::NoSuchRun:
            return PullStatus::NotOwner;
        case control::RunStatus::PullSuperseded:
            return PullStatus::Superseded;
        case control::RunStatus::CursorBehind:
            return PullStatus::CursorBehind;
        case control::RunStatus::CursorInvalid:
            return PullStatus::CursorInvalid;
        default:
            return PullStatus::Retry;
        }
    }

}

PullDecision RunScheduler::planPull(const PullRequest& request, TimePoint now)
{
    m_now = now;
    if (auto rejection = rejectPull(request))
        return *rejection;
    m_seenPull = request.pull;
    setTrainerVersion(request.version, now);
    dropStaleUnassigned(now);
    HandOffPlan plan { request, { m_run, m_epoch, m_recordedPull, request.pull, request.cursor, m_forecast.current(), {}, {} }, m_generation };
    std::size_t resent = 0;
    const bool isCursorKnown = planOutstandingGroups(request, plan.record, resent);
    if (isCursorKnown)
        planAssignments(request, resent, plan.record.assigned);
    // Resends are recorded too, so that a delayed copy of an older pull cannot void the samples that this pull
    // delivers.
    if (request.cursor == m_confirmed && resent == 0 && plan.record.voided.empty() && plan.record.assigned.empty()) {
        // The same pull number may be planned again, so that the pull can wait for samples.
        m_isTrainerWaiting = true;
        return replyTo(request, PullStatus::Empty);
    }
    m_committingPull = request.pull;
    return plan;
}

std::optional<PullReply> RunScheduler::rejectPull(const PullRequest& request) const
{
    if (m_isFenced)
        return replyTo(request, PullStatus::NotOwner);
    if (request.pull < m_seenPull || request.pull <= m_answeredPull) {
        PullReply reply = replyTo(request, PullStatus::Superseded);
        reply.detail = fmt::format("use a pull number above {}", std::max(m_seenPull, m_answeredPull));
        return reply;
    }
    if (m_committingPull || m_needsReload)
        return replyTo(request, PullStatus::Retry);
    return std::nullopt;
}

/// Plans the groups with sequence numbers beyond the cursor: voids groups that cannot be resent unchanged and counts
/// the samples of the others. Returns false if the cursor is below the confirmed one. Only the ledger rejects a
/// cursor, because a replaced owner does not have the sequence numbers assigned since its replacement.
bool RunScheduler::planOutstandingGroups(const PullRequest& request, control::RecordHandOff& record, std::size_t& resent) const
{
    if (request.cursor < m_confirmed)
        return false;
    for (auto group = m_groups.begin(); group != m_groups.end(); ++group) {
        const auto& samples = group->second.samples;
        const auto beyond = static_cast<std::size_t>(std::count_if(samples.begin(), samples.end(), [&](const SampleSlot& slot) { return slot.sequence > request.cursor; }));
        if (beyond == 0)
            continue;
        if (isComplete(group, request.cursor))
            resent += beyond;
        else
            record.voided.push_back(group->second.spec.group);
    }
    return true;
}

/// Assigns complete groups in order of step, but none of a step after the first incomplete one. Later steps wait,
/// because their samples would become stale at the trainer without being detected.
void RunScheduler::planAssignments(const PullRequest& request, std::size_t planned, std::vector<GroupId>& assigned) const
{
    std::optional<std::uint64_t> incompleteStep;
    for (auto group = m_groups.begin(); group != m_groups.end(); ++group) {
        if (incompleteStep && group->first.step != *incompleteStep)
            return;
        if (group->second.hasUnconfirmedSequence()) {
            if (!isComplete(group, request.cursor))
                incompleteStep = group->first.step;
            continue;
        }
        const std::size_t size = group->second.samples.size();
        if (!isComplete(group, m_confirmed)) {
            incompleteStep = group->first.step;
            continue;
        }
        if (planned > 0 && planned + size > request.maxSamples)
            return;
        planned += size;
        assigned.push_back(group->second.spec.group);
    }
}

bool RunScheduler::isComplete(Groups::const_iterator group, Sequence cursor) const
{
    for (std::uint32_t index = 0; index < group->second.samples.size(); ++index) {
        const SampleSlot& slot = group->second.samples[index];
        const bool isHeldByTrainer = slot.state == SampleState::Confirmed || (slot.sequence != 0 && slot.sequence <= cursor);
        if (!isHeldByTrainer && (slot.state != SampleState::Ready || !isFresh(keyOf(group, index))))
            return false;
    }
    return true;
}

bool RunScheduler::isFresh(const SampleKey& key) const
{
    const BufferedSample* const sample = m_buffer.find(key);
    if (sample == nullptr)
        return false;
    const WeightVersion current = m_forecast.current();
    if (m_settings.ageBound > Duration::zero() && m_now - sample->started > m_settings.ageBound)
        return false;
    return sample->versions.newest <= current && sample->versions.oldest + m_settings.stalenessBound >= current;
}

void RunScheduler::dropStaleUnassigned(TimePoint now)
{
    for (auto group = m_groups.begin(); group != m_groups.end(); ++group) {
        for (std::uint32_t index = 0; index < group->second.samples.size(); ++index) {
            const SampleSlot& slot = group->second.samples[index];
            const bool hasBody = slot.state == SampleState::Ready || slot.state == SampleState::Scoring;
            if (!hasBody || slot.sequence != 0 || isFresh(keyOf(group, index)))
                continue;
            ++m_counters.discardedStale;
            makePending(group, index, now);
        }
    }
}

PullReply RunScheduler::completePull(const HandOffPlan& plan, const control::RunReply& reply, TimePoint now)
{
    m_now = now;
    // Either this is a second reply for the same plan, or the scheduler was reloaded from the ledger since the plan was
    // made; the reloaded state may or may not include this hand-off.
    if (plan.generation != m_generation || m_committingPull != plan.request.pull)
        return replyTo(plan.request, PullStatus::Retry);
    m_committingPull.reset();
    m_answeredPull = std::max(m_answeredPull, plan.request.pull);
    if (reply.status == control::RunStatus::Recorded) {
        applyRecord(plan, reply, now);
        return collectSamples(plan.request, now);
    }
    PullReply rejection = replyTo(plan.request, statusOf(reply.status));
    rejection.detail = reply.detail;
    m_isFenced = m_isFenced || rejection.status == PullStatus::NotOwner;
    // Any other rejection means that the state of the scheduler differs from the ledger.
    m_needsReload = rejection.status != PullStatus::CursorBehind && rejection.status != PullStatus::CursorInvalid;
    return rejection;
}

void RunScheduler::abandonPull() noexcept
{
    m_committingPull.reset();
    m_needsReload = true;
}

void RunScheduler::applyRecord(const HandOffPlan& plan, const control::RunReply& reply, TimePoint now)
{
    applyConfirmation(plan.request.cursor);
    for (const GroupId& group : plan.record.voided)
        applyVoid(group, now);
    for (const control::AssignedGroup& assigned : reply.assigned)
        applySequences(m_groups.find(m_orders.at(assigned.group)), assigned.sequences);
    m_recordedPull = plan.request.pull;
}

void RunScheduler::applyConfirmation(Sequence cursor)
{
    m_confirmed = cursor;
    for (auto group = m_groups.begin(); group != m_groups.end();) {
        const auto current = group++;
        bool isDone = true;
        for (std::uint32_t index = 0; index < current->second.samples.size(); ++index) {
            const Sequence sequence = current->second.samples[index].sequence;
            if (sequence != 0 && sequence <= cursor)
                confirmSample(current, index);
            isDone = isDone && current->second.samples[index].state == SampleState::Confirmed;
        }
        if (isDone)
            removeGroup(current);
    }
}

void RunScheduler::applyVoid(const GroupId& id, TimePoint now)
{
    ++m_counters.voidedGroups;
    const auto group = m_groups.find(m_orders.at(id));
    for (std::uint32_t index = 0; index < group->second.samples.size(); ++index) {
        SampleSlot& slot = group->second.samples[index];
        if (slot.state == SampleState::Confirmed)
            continue;
        slot.sequence = 0;
        const bool isStale = slot.state == SampleState::Ready && !isFresh(keyOf(group, index));
        m_counters.discardedStale += isStale ? 1 : 0;
        if (isStale || slot.state == SampleState::BodyMissing)
            makePending(group, index, now);
    }
}

PullReply RunScheduler::collectSamples(const PullRequest& request, TimePoint now)
{
    PullReply reply = replyTo(request, PullStatus::Samples);
    for (auto group = m_groups.begin(); group != m_groups.end(); ++group) {
        for (std::uint32_t index = 0; index < group->second.samples.size(); ++index) {
            const SampleSlot& slot = group->second.samples[index];
            if (slot.sequence <= request.cursor)
                continue;
            const SampleKey key = keyOf(group, index);
            // The trainer's version may have increased while the hand-off was being recorded.
            if (slot.state != SampleState::Ready || !isFresh(key))
                return replyTo(request, PullStatus::Retry);
            const BufferedSample& sample = *m_buffer.find(key);
            reply.samples.push_back({ slot.sequence, key, group->first.step, sample.versions, sample.score, sample.body });
        }
    }
    if (reply.samples.empty()) {
        m_isTrainerWaiting = true;
        return replyTo(request, PullStatus::Empty);
    }
    m_isTrainerWaiting = false;
    std::sort(reply.samples.begin(), reply.samples.end(), [](const HandOffSample& left, const HandOffSample& right) { return left.sequence < right.sequence; });
    for (const HandOffSample& sample : reply.samples)
        countHandOff(sample, m_buffer.find(sample.key)->readyAt, now);
    reply.nextCursor = reply.samples.back().sequence;
    m_sent = std::max(m_sent, reply.nextCursor);
    return reply;
}

void RunScheduler::countHandOff(const HandOffSample& sample, TimePoint readyAt, TimePoint now)
{
    if (sample.sequence <= m_sent) {
        ++m_counters.resent;
        return;
    }
    ++m_counters.handedOff;
    m_counters.stalenessTotal += m_forecast.current() - sample.versions.oldest;
    m_counters.handOffAgeTotal += now - readyAt;
    m_counters.handOffAgeMax = std::max(m_counters.handOffAgeMax, now - readyAt);
}

PullReply RunScheduler::replyTo(const PullRequest& request, PullStatus status) const
{
    PullReply reply;
    reply.status = status;
    reply.pull = request.pull;
    reply.cursor = request.cursor;
    reply.nextCursor = request.cursor;
    reply.version = m_forecast.current();
    reply.retryAfter = status == PullStatus::Empty || status == PullStatus::Retry ? pullRetryDelay : Duration::zero();
    return reply;
}

}
