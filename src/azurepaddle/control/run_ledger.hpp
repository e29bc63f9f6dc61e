#pragma once

#include "azurepaddle/control/run_commands.hpp"

#include <map>

namespace azurepaddle::control {

/// A group with at least one sample that the trainer has not confirmed yet.
struct GroupRecord {
    GroupSpec spec;
    std::uint64_t ordinal = 0; ///< Order of submission within the run.
    /// By sample index; 0 if not assigned. Samples up to the confirmed cursor are confirmed, those above it are
    /// outstanding.
    std::vector<Sequence> sequences;

    bool operator==(const GroupRecord&) const = default;
    MSGPACK_DEFINE(spec, ordinal, sequences)
};

/// State of one run, from which a new owner resumes it.
struct RunRecord {
    Holder owner;
    Epoch epoch = 0;
    LogTime ownerExpires = 0;
    WeightVersion version = 0;
    Sequence confirmed = 0;
    Sequence highest = 0;
    std::uint64_t pull = 0;
    std::uint64_t groupsSubmitted = 0;
    std::uint64_t highestStep = 0;
    std::uint64_t firstOpenStep = 0; ///< Groups of lower steps are refused unless they are already stored.
    std::uint64_t promptBytes = 0; ///< Total size of the stored prompts.
    std::map<GroupId, GroupRecord> groups;
    /// Groups with assigned, unconfirmed samples, by their highest sequence number.
    std::map<Sequence, GroupId> outstanding;
    /// Confirmed groups with the digest of their content, by step. Used to recognise repeated submissions.
    std::map<std::uint64_t, std::map<GroupId, std::uint64_t>> confirmedGroups;

    bool operator==(const RunRecord&) const = default;
    MSGPACK_DEFINE(owner, epoch, ownerExpires, version, confirmed, highest, pull, groupsSubmitted, highestStep, firstOpenStep,
        promptBytes, groups, outstanding, confirmedGroups)
};

/// Groups, sequence numbers and cursors of the runs. A sequence number is never reused for another sample, and a
/// sample has at most one outstanding number.
class RunLedger {
public:
    static constexpr std::size_t maxRuns = 1024;
    /// Largest number of unconfirmed groups per run.
    static constexpr std::size_t maxGroups = 16'384;
    /// Largest total size of the stored prompts per run, in bytes.
    static constexpr std::uint64_t maxPromptBytes = 64ULL * 1024 * 1024;
    static constexpr std::uint32_t maxSamplesPerGroup = 4096;
    /// Number of confirmed groups per run above which the oldest step is closed.
    static constexpr std::size_t maxConfirmedGroups = 65'536;
    /// Number of steps below the highest one whose confirmed groups are retained.
    static constexpr std::uint64_t retainedSteps = 32;

    [[nodiscard]] RunReply acquire(const AcquireRun& request, LogTime now);
    [[nodiscard]] RunReply release(const ReleaseRun& request, LogTime now);
    [[nodiscard]] RunReply submit(const SubmitGroups& submission);
    [[nodiscard]] RunReply setVersion(const SetTrainerVersion& request);
    [[nodiscard]] RunReply recordHandOff(const RecordHandOff& request);
    [[nodiscard]] RunReply reset(const ResetRun& request);
    [[nodiscard]] RunReply remove(const RemoveRun& request);

    /// The record of a run, or null.
    [[nodiscard]] const RunRecord* find(const RunName& run) const;
    [[nodiscard]] const std::map<RunName, RunRecord>& runs() const noexcept { return m_runs; }

    bool operator==(const RunLedger&) const = default;
    MSGPACK_DEFINE(m_runs)

private:
    /// The record of the run, created if there is none; null if maxRuns is reached.
    [[nodiscard]] RunRecord* findOrCreate(const RunName& run);
    [[nodiscard]] RunRecord* findMutable(const RunName& run);

    std::map<RunName, RunRecord> m_runs;
};

}
