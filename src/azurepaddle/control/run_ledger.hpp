#pragma once

#include "azurepaddle/control/run_commands.hpp"

#include <map>

namespace azurepaddle::control {

/// A group whose samples are not all confirmed.
struct GroupRecord {
    GroupSpec spec;
    std::uint64_t ordinal = 0; ///< Order of submission within the run.
    /// By index: 0 if not assigned. A number up to the confirmed cursor is confirmed, a higher one is live.
    std::vector<Sequence> sequences;

    bool operator==(const GroupRecord&) const = default;
    MSGPACK_DEFINE(spec, ordinal, sequences)
};

/// Everything the ledger knows about one run. A new owner starts from it.
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
    std::uint64_t firstOpenStep = 0; ///< Groups of lower steps are refused unless stored.
    std::uint64_t bodyBytes = 0; ///< Of all stored prompts.
    std::map<GroupId, GroupRecord> groups;
    std::map<Sequence, GroupId> outstanding; ///< Groups with assigned, unconfirmed samples, by their highest number.
    /// Confirmed groups with the digest of their content, by step, so that a repeated submission is recognised.
    std::map<std::uint64_t, std::map<GroupId, std::uint64_t>> finished;

    bool operator==(const RunRecord&) const = default;
    MSGPACK_DEFINE(owner, epoch, ownerExpires, version, confirmed, highest, pull, groupsSubmitted, highestStep, firstOpenStep,
        bodyBytes, groups, outstanding, finished)
};

/// Groups, sequence numbers and cursors of the runs. A sequence number names one sample for ever; a sample has at most
/// one live number.
class RunLedger {
public:
    static constexpr std::size_t maxRuns = 1024;
    /// Groups of one run that are not confirmed.
    static constexpr std::size_t maxGroups = 16'384;
    /// Bytes of prompts of one run.
    static constexpr std::uint64_t maxBodyBytes = 64ULL * 1024 * 1024;
    static constexpr std::uint32_t maxSamplesPerGroup = 4096;
    /// Confirmed groups of one run that are remembered.
    static constexpr std::size_t maxFinishedGroups = 65'536;
    /// Steps behind the highest one whose confirmed groups are remembered.
    static constexpr std::uint64_t rememberedSteps = 32;

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
    /// The record of the run, created if the limit allows, or null.
    [[nodiscard]] RunRecord* findOrCreate(const RunName& run);
    [[nodiscard]] RunRecord* findMutable(const RunName& run);

    std::map<RunName, RunRecord> m_runs;
};

}
