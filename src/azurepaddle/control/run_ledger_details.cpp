#include "azurepaddle/control/run_ledger_details.hpp"

#include "azurepaddle/core/invariant.hpp"

#include <algorithm>
#include <set>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace azurepaddle::control::internal {

namespace {

    std::uint64_t contentDigest(const GroupSpec& spec)
    {
        const std::string bytes = codec::encode(spec);
        return XXH3_64bits(bytes.data(), bytes.size());
    }

    RunReply makeRefusal(const RunRecord& run, RunStatus status, const GroupId& group, std::string detail)
    {
        RunReply reply = replyFor(run, status);
        reply.group = group;
        reply.detail = std::move(detail);
        return reply;
    }

    /// Digest of a confirmed group, or null.
    const std::uint64_t* findConfirmedDigest(const RunRecord& run, const GroupId& group)
    {
        for (const auto& [step, groups] : run.confirmedGroups) {
            if (const auto found = groups.find(group); found != groups.end())
                return &found->second;
        }
        return nullptr;
    }

    bool hasOutstandingSamples(const RunRecord& run, const GroupRecord& group, Sequence cursor)
    {
        const Sequence confirmed = std::max(run.confirmed, cursor);
        return std::any_of(group.sequences.begin(), group.sequences.end(), [=](Sequence number) { return number > confirmed; });
    }

    std::optional<RunReply> checkCursor(const RunRecord& run, const RecordHandOff& request)
    {
        if (request.cursor < run.confirmed)
            return makeRefusal(run, RunStatus::CursorBehind, {},
                fmt::format("samples up to {} are confirmed and their bodies are gone. A trainer restored from an older checkpoint "
                            "resets the run with a cursor of at least {} and submits the groups it lost again",
                    run.confirmed, run.highest + 1));
        if (!isCursorValid(run, request.cursor))
            return makeRefusal(run, RunStatus::CursorInvalid, {},
                fmt::format("cursor {} names no sample in force; confirmed is {}, highest assigned is {}", request.cursor, run.confirmed,
                    run.highest));
        return std::nullopt;
    }

    std::optional<RunReply> checkGroups(const RunRecord& run, const RecordHandOff& request)
    {
        std::set<GroupId> voided;
        for (const GroupId& group : request.voided) {
            const auto found = run.groups.find(group);
            if (found == run.groups.end() || !hasOutstandingSamples(run, found->second, request.cursor) || !voided.insert(group).second)
                return makeRefusal(run, RunStatus::GroupNotVoidable, group, "the group has no assigned samples beyond the cursor");
        }
        std::set<GroupId> assigned;
        for (const GroupId& group : request.assigned) {
            const auto found = run.groups.find(group);
            const bool isAssignable = found != run.groups.end() && (voided.contains(group) || !hasOutstandingSamples(run, found->second, 0));
            if (!isAssignable || !assigned.insert(group).second)
                return makeRefusal(run, RunStatus::GroupNotAssignable, group, "the group is unknown, assigned already, or confirmed");
        }
        return std::nullopt;
    }

}

bool isCursorValid(const RunRecord& run, Sequence cursor)
{
    if (cursor == run.confirmed)
        return true;
    const auto found = run.outstanding.lower_bound(cursor);
    if (found == run.outstanding.end())
        return false;
    const auto& sequences = run.groups.at(found->second).sequences;
    return std::find(sequences.begin(), sequences.end(), cursor) != sequences.end();
}

RunReply replyFor(const RunRecord& run, RunStatus status)
{
    RunReply reply;
    reply.status = status;
    reply.epoch = run.epoch;
    reply.owner = run.owner;
    reply.confirmed = run.confirmed;
    reply.highest = run.highest;
    reply.pull = run.pull;
    reply.version = run.version;
    return reply;
}

std::optional<RunReply> checkOwner(const RunRecord& run, Epoch epoch)
{
    if (epoch == run.epoch && !run.owner.empty())
        return std::nullopt;
    return makeRefusal(run, RunStatus::NotOwner, {}, fmt::format("the owner in force has epoch {}", run.epoch));
}

std::optional<RunReply> checkSubmission(const RunRecord& run, const std::vector<GroupSpec>& groups)
{
    std::map<GroupId, const GroupSpec*> newGroups;
    std::uint64_t totalBytes = run.promptBytes;
    for (const GroupSpec& spec : groups) {
        const auto stored = run.groups.find(spec.group);
        const std::uint64_t* const confirmedDigest = findConfirmedDigest(run, spec.group);
        const auto repeated = newGroups.find(spec.group);
        const bool isKnown = stored != run.groups.end() || confirmedDigest != nullptr || repeated != newGroups.end();
        const bool hasSameContent = (stored == run.groups.end() || stored->second.spec == spec)
            && (confirmedDigest == nullptr || *confirmedDigest == contentDigest(spec)) && (repeated == newGroups.end() || *repeated->second == spec);
        if (!hasSameContent)
            return makeRefusal(run, RunStatus::GroupConflict, spec.group, "the group id was used with other content; use a new id");
        if (isKnown)
            continue;
        if (spec.step < run.firstOpenStep)
            return makeRefusal(run, RunStatus::StepClosed, spec.group, fmt::format("the first open step is {}", run.firstOpenStep));
        newGroups.emplace(spec.group, &spec);
        totalBytes += spec.prompt.size();
    }
    if (!newGroups.empty() && (run.groups.size() + newGroups.size() > RunLedger::maxGroups || totalBytes > RunLedger::maxPromptBytes))
        return makeRefusal(run, RunStatus::RunFull, newGroups.begin()->first, "pull and confirm samples before submitting more groups");
    return std::nullopt;
}

std::optional<RunReply> checkHandOff(const RunRecord& run, const RecordHandOff& request)
{
    if (auto refusal = checkOwner(run, request.epoch))
        return refusal;
    if (request.pull <= run.pull)
        return makeRefusal(run, RunStatus::PullSuperseded, {}, fmt::format("use a pull number above {}", run.pull));
    if (request.basePull != run.pull)
        return makeRefusal(run, RunStatus::BasePullOutdated, {}, fmt::format("the hand-off for pull {} was recorded meanwhile", run.pull));
    if (auto refusal = checkCursor(run, request))
        return refusal;
    return checkGroups(run, request);
}

bool storeGroup(RunRecord& run, const GroupSpec& spec)
{
    if (run.groups.contains(spec.group) || findConfirmedDigest(run, spec.group) != nullptr)
        return false;
    run.highestStep = std::max(run.highestStep, spec.step);
    run.promptBytes += spec.prompt.size();
    run.groups.emplace(spec.group, GroupRecord { spec, ++run.groupsSubmitted, std::vector<Sequence>(spec.samples) });
    return true;
}

void confirm(RunRecord& run, Sequence cursor)
{
    run.confirmed = cursor;
    while (!run.outstanding.empty() && run.outstanding.begin()->first <= cursor) {
        const auto group = run.groups.find(run.outstanding.begin()->second);
        const GroupSpec& spec = group->second.spec;
        run.promptBytes -= spec.prompt.size();
        run.confirmedGroups[spec.step].emplace(spec.group, contentDigest(spec));
        run.groups.erase(group);
        run.outstanding.erase(run.outstanding.begin());
    }
}

void voidGroup(RunRecord& run, const GroupId& group)
{
    GroupRecord& record = run.groups.at(group);
    run.outstanding.erase(*std::max_element(record.sequences.begin(), record.sequences.end()));
    for (Sequence& number : record.sequences)
        number = number > run.confirmed ? 0 : number;
}

AssignedGroup assignGroup(RunRecord& run, const GroupId& group)
{
    GroupRecord& record = run.groups.at(group);
    for (Sequence& number : record.sequences) {
        if (number != 0)
            continue;
        number = ++run.highest;
    }
    const bool isNew = run.outstanding.emplace(run.highest, group).second;
    AZUREPADDLE_INVARIANT(isNew, "a sequence number is assigned to two groups");
    return { group, record.sequences };
}

void closeOldSteps(RunRecord& run)
{
    const std::uint64_t oldestRetainedStep = run.highestStep > RunLedger::retainedSteps ? run.highestStep - RunLedger::retainedSteps : 0;
    std::size_t confirmedCount = 0;
    for (const auto& [step, groups] : run.confirmedGroups)
        confirmedCount += groups.size();
    if (confirmedCount > RunLedger::maxConfirmedGroups)
        run.firstOpenStep = std::max(run.firstOpenStep, run.confirmedGroups.begin()->first + 1);
    run.firstOpenStep = std::max(run.firstOpenStep, oldestRetainedStep);
    run.confirmedGroups.erase(run.confirmedGroups.begin(), run.confirmedGroups.lower_bound(run.firstOpenStep));
}

}
