#include "azurepaddle/control/run_ledger.hpp"

#include "azurepaddle/control/run_ledger_details.hpp"

#include <algorithm>

namespace azurepaddle::control {

using internal::replyFor;

namespace {

    /// A reply that describes no run, because the run has no record.
    RunReply replyWithoutRun(RunStatus status)
    {
        RunReply reply;
        reply.status = status;
        return reply;
    }

}

RunReply RunLedger::acquire(const AcquireRun& request, LogTime now)
{
    RunRecord* const run = findOrCreate(request.run);
    if (run == nullptr)
        return replyWithoutRun(RunStatus::TooManyRuns);
    const LogTime availableAt = run->owner.empty() ? run->ownerExpires : run->ownerExpires + maxClockDifference;
    if (run->owner != request.holder && run->epoch > 0 && now < availableAt) {
        RunReply reply = replyFor(*run, RunStatus::Held);
        reply.wait = availableAt - now;
        return reply;
    }
    if (run->owner != request.holder)
        ++run->epoch;
    run->owner = request.holder;
    run->ownerExpires = std::max(run->ownerExpires, now + request.duration);
    return replyFor(*run, RunStatus::Granted);
}

RunReply RunLedger::release(const ReleaseRun& request, LogTime now)
{
    const auto found = m_runs.find(request.run);
    if (found == m_runs.end())
        return replyWithoutRun(RunStatus::NoSuchRun);
    RunRecord& run = found->second;
    if (run.epoch != request.epoch || run.owner.empty())
        return replyFor(run, RunStatus::NotOwner);
    run.owner = {};
    run.ownerExpires = now;
    return replyFor(run, RunStatus::Released);
}

RunReply RunLedger::submit(const SubmitGroups& submission)
{
    RunRecord* const run = findMutable(submission.run);
    if (run == nullptr)
        return replyWithoutRun(RunStatus::NoSuchRun);
    if (auto refusal = internal::checkOwner(*run, submission.epoch))
        return *refusal;
    if (auto refusal = internal::checkSubmission(*run, submission.groups))
        return *refusal;
    std::vector<GroupId> stored;
    for (const GroupSpec& spec : submission.groups) {
        if (internal::storeGroup(*run, spec))
            stored.push_back(spec.group);
    }
    internal::closeOldSteps(*run);
    RunReply reply = replyFor(*run, RunStatus::Stored);
    reply.stored = std::move(stored);
    return reply;
}

RunReply RunLedger::setVersion(const SetTrainerVersion& request)
{
    RunRecord* const run = findMutable(request.run);
    if (run == nullptr)
        return replyWithoutRun(RunStatus::NoSuchRun);
    if (auto refusal = internal::checkOwner(*run, request.epoch))
        return *refusal;
    run->version = std::max(run->version, request.version);
    return replyFor(*run, RunStatus::Recorded);
}

RunReply RunLedger::recordHandOff(const RecordHandOff& request)
{
    RunRecord* const run = findMutable(request.run);
    if (run == nullptr)
        return replyWithoutRun(RunStatus::NoSuchRun);
    if (auto refusal = internal::checkHandOff(*run, request))
        return *refusal;
    internal::confirm(*run, request.cursor);
    for (const GroupId& group : request.voided)
        internal::voidGroup(*run, group);
    std::vector<AssignedGroup> assigned;
    for (const GroupId& group : request.assigned)
        assigned.push_back(internal::assignGroup(*run, group));
    run->pull = request.pull;
    run->version = std::max(run->version, request.version);
    internal::closeOldSteps(*run);
    RunReply reply = replyFor(*run, RunStatus::Recorded);
    reply.assigned = std::move(assigned);
    return reply;
}

RunReply RunLedger::reset(const ResetRun& request)
{
    RunRecord* const run = findMutable(request.run);
    if (run == nullptr)
        return replyWithoutRun(RunStatus::NoSuchRun);
    if (auto refusal = internal::checkOwner(*run, request.epoch))
        return *refusal;
    if (request.cursor <= run->highest) {
        RunReply reply = replyFor(*run, RunStatus::ResetCursorTooLow);
        reply.detail = fmt::format("reset with a cursor of at least {}, because the numbers below it are in use", run->highest + 1);
        return reply;
    }
    if (request.checkpointCursor > run->confirmed && !internal::isCursorValid(*run, request.checkpointCursor)) {
        RunReply reply = replyFor(*run, RunStatus::CursorInvalid);
        reply.detail = fmt::format("held cursor {} names no sample in force; confirmed is {}", request.checkpointCursor, run->confirmed);
        return reply;
    }
    // A checkpoint may be newer than the last confirmation. Its samples must not be delivered again.
    if (request.checkpointCursor > run->confirmed)
        internal::confirm(*run, request.checkpointCursor);
    while (!run->outstanding.empty())
        internal::voidGroup(*run, GroupId(run->outstanding.begin()->second));
    run->confirmed = request.cursor;
    run->highest = request.cursor;
    run->version = request.version;
    run->confirmedGroups.erase(run->confirmedGroups.lower_bound(request.step), run->confirmedGroups.end());
    run->firstOpenStep = std::min(run->firstOpenStep, request.step);
    run->highestStep = std::min(run->highestStep, request.step);
    return replyFor(*run, RunStatus::Reset);
}

RunReply RunLedger::remove(const RemoveRun& request)
{
    return replyWithoutRun(m_runs.erase(request.run) == 0 ? RunStatus::NoSuchRun : RunStatus::Removed);
}

const RunRecord* RunLedger::find(const RunName& run) const
{
    const auto found = m_runs.find(run);
    return found == m_runs.end() ? nullptr : &found->second;
}

RunRecord* RunLedger::findMutable(const RunName& run)
{
    const auto found = m_runs.find(run);
    return found == m_runs.end() ? nullptr : &found->second;
}

RunRecord* RunLedger::findOrCreate(const RunName& run)
{
    if (const auto found = m_runs.find(run); found != m_runs.end())
        return &found->second;
    if (m_runs.size() >= maxRuns)
        return nullptr;
    return &m_runs[run];
}

}
