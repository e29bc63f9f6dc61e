#pragma once

#include "azurepaddle/control/run_ledger.hpp"
#include "azurepaddle/rollout/group_state.hpp"
#include "azurepaddle/rollout/hand_off.hpp"
#include "azurepaddle/rollout/run_settings.hpp"
#include "azurepaddle/rollout/sample_buffer.hpp"

#include <limits>
#include <map>
#include <set>
#include <vector>

namespace azurepaddle::rollout {

/// A request to an engine to generate one sample of a group.
struct Attempt {
    AttemptId id = 0;
    SampleKey sample;
    std::string prompt;
    std::uint32_t tokenLimit = 0;
    WeightVersion minimumVersion = 0; ///< Endpoints with a lower version would exceed the staleness bound.
    bool isInStepTail = false; ///< Among the last samples of its step, which are to be prioritised.
    std::optional<AttemptId> duplicateOf; ///< The slow attempt that this one duplicates or replaces.
    std::optional<EndpointId> avoidedEndpoint; ///< Endpoint of the slow attempt.
};

enum class AttemptOutcome : unsigned char {
    Accepted,
    BadLabel, ///< Version labels are missing or contradictory; the sample is generated again after a delay.
    Stale, ///< The staleness bound is exceeded; the sample is generated again after a delay.
    TooLarge, ///< The body exceeds the size limit; the sample is generated again after a delay.
    Obsolete, ///< The attempt was cancelled or is unknown.
};

/// A sample to be scored.
struct ScoringTask {
    SampleKey sample;
    std::shared_ptr<const SampleBody> body;
};

struct RunCounters {
    std::uint64_t accepted = 0; ///< Samples that were completed with valid labels.
    std::uint64_t discardedStale = 0; ///< Completed samples that were dropped as stale.
    std::uint64_t cancelledStale = 0; ///< Attempts cancelled because their samples would be stale.
    std::uint64_t badLabels = 0;
    std::uint64_t failedAttempts = 0;
    std::uint64_t regenerated = 0; ///< Attempts for samples that had been attempted before.
    std::uint64_t duplicatedAttempts = 0;
    std::uint64_t duplicateWins = 0; ///< Second attempts that finished first.
    std::uint64_t evicted = 0; ///< Completed samples dropped to keep the buffer within its limit.
    std::uint64_t voidedGroups = 0;
    std::uint64_t handedOff = 0; ///< Samples sent for the first time under their sequence number.
    std::uint64_t resent = 0;
    std::uint64_t stalenessTotal = 0; ///< Total number of versions that handed-off samples were behind.
    Duration handOffAgeTotal {}; ///< Total time between readiness and hand-off of samples.
    Duration handOffAgeMax {};
};

/// Schedules the groups of a run on the instance that owns the run: selects the samples to generate next and the
/// samples to hand off to the trainer. Performs no I/O. Not thread-safe.
///
/// A pull takes two steps. planPull returns either the reply or a record to commit. After the commit, completePull
/// takes the ledger's reply and returns the reply to the trainer. If the outcome of the commit is unknown, call
/// abandonPull and then reload to synchronise the scheduler with the ledger.
class RunScheduler {
public:
    RunScheduler(RunSettings settings, RunName run, const control::RunRecord& record, TimePoint now);

    /// Synchronises with the ledger record after an abandoned pull. Does not lower the trainer's version.
    void reload(const control::RunRecord& record, TimePoint now);
    /// Synchronises with the ledger record after the trainer has reset the run. May lower the trainer's version.
    void onReset(const control::RunRecord& record, TimePoint now);
    /// Adds groups that the ledger has stored, in the order of the ledger's reply.
    void submitGroups(const std::vector<control::GroupSpec>& stored);
    /// Updates the trainer's version after it is committed. Lower versions are ignored.
    void setTrainerVersion(WeightVersion version, TimePoint now);
    /// Sets the newest version that the endpoints of the service serve. Until set, the trainer's version is used.
    void setServedVersion(WeightVersion version) noexcept { m_servedVersion = version; }

    /// Returns the attempts to start now, at most freeSlots, in order of step and group. Within a step, samples with
    /// earlier attempts come first; second attempts for slow samples follow the pending samples of their step.
    [[nodiscard]] std::vector<Attempt> nextAttempts(TimePoint now, std::size_t freeSlots);
    /// Records the endpoint that an attempt was sent to and the version that the endpoint served.
    void onAttemptSent(AttemptId id, const EndpointId& endpoint, WeightVersion version);
    AttemptOutcome onAttemptFinished(AttemptId id, SampleBody body, TimePoint now);
    void onAttemptFailed(AttemptId id, TimePoint now);
    /// Returns the attempts cancelled since the last call. Their results are ignored.
    [[nodiscard]] std::vector<AttemptId> takeCancelled();

    /// Returns samples to score. Each is returned once, unless its scoring fails.
    [[nodiscard]] std::vector<ScoringTask> nextScoringTasks(std::size_t limit);
    void onScored(const ScoringTask& task, double score, TimePoint now);
    /// Returns the sample to the scoring queue.
    void onScoringFailed(const ScoringTask& task);

    [[nodiscard]] PullDecision planPull(const PullRequest& request, TimePoint now);
    [[nodiscard]] PullReply completePull(const HandOffPlan& plan, const control::RunReply& reply, TimePoint now);
    void abandonPull() noexcept;

    /// True after the ledger rejected this owner's epoch. A fenced scheduler starts no more attempts.
    [[nodiscard]] bool isFenced() const noexcept { return m_isFenced; }
    /// True from an abandoned pull or a state mismatch with the ledger until reload is called.
    [[nodiscard]] bool needsReload() const noexcept { return m_needsReload; }
    [[nodiscard]] const RunCounters& counters() const noexcept { return m_counters; }
    [[nodiscard]] std::size_t bufferedBytes() const noexcept { return m_buffer.bytes(); }
    [[nodiscard]] std::size_t pendingSamples() const noexcept { return m_pending.size(); }
    [[nodiscard]] std::size_t runningAttempts() const noexcept { return m_running.size(); }
    [[nodiscard]] std::size_t openGroups() const noexcept { return m_groups.size(); }
    [[nodiscard]] WeightVersion trainerVersion() const noexcept { return m_forecast.current(); }

private:
    using Groups = std::map<internal::GroupOrder, internal::GroupState>;

    // Groups and samples.
    void addGroup(const control::GroupSpec& spec, std::uint64_t ordinal);
    void removeGroup(Groups::iterator group);
    void applySequences(Groups::iterator group, const std::vector<Sequence>& sequences);
    void makePending(Groups::iterator group, std::uint32_t index, TimePoint notBefore);
    void confirmSample(Groups::iterator group, std::uint32_t index);
    void cancelAttempts(internal::SampleSlot& slot);
    [[nodiscard]] internal::SampleSlot& slotOf(const internal::RunningAttempt& attempt);
    [[nodiscard]] static SampleKey keyOf(Groups::const_iterator group, std::uint32_t index);
    [[nodiscard]] static internal::PendingKey pendingKeyOf(Groups::const_iterator group, std::uint32_t index);

    // Attempts.
    [[nodiscard]] Attempt startAttempt(Groups::iterator group, std::uint32_t index, TimePoint now);
    void addStragglerAttempts(std::uint64_t step, TimePoint now, std::size_t freeSlots, std::vector<Attempt>& attempts);
    [[nodiscard]] Attempt startSecondAttempt(AttemptId slow, TimePoint now);
    [[nodiscard]] std::optional<WeightVersion> minimumVersionFor(std::uint64_t step, TimePoint now) const;
    [[nodiscard]] bool isStepInTail(std::uint64_t step) const;
    [[nodiscard]] std::uint64_t lowestIncompleteStep() const;
    [[nodiscard]] bool hasMemoryForMore() const;
    [[nodiscard]] Groups::const_iterator firstUnassignedGroup() const;
    [[nodiscard]] Duration retryDelay(std::uint32_t failures) const noexcept;
    void acceptSample(const internal::RunningAttempt& attempt, AttemptId id, SampleBody body, VersionRange versions, TimePoint now);
    void evict();
    void cancelStaleAttempts(TimePoint now);

    // Hand-off.
    [[nodiscard]] std::optional<PullReply> rejectPull(const PullRequest& request) const;
    [[nodiscard]] bool isFresh(const SampleKey& key) const;
    [[nodiscard]] bool isComplete(Groups::const_iterator group, Sequence cursor) const;
    void dropStaleUnassigned(TimePoint now);
    void planAssignments(const PullRequest& request, std::size_t planned, std::vector<GroupId>& assigned) const;
    [[nodiscard]] bool planOutstandingGroups(const PullRequest& request, control::RecordHandOff& record, std::size_t& resent) const;
    void applyRecord(const HandOffPlan& plan, const control::RunReply& reply, TimePoint now);
    void applyConfirmation(Sequence cursor);
    void applyVoid(const GroupId& group, TimePoint now);
    [[nodiscard]] PullReply collectSamples(const PullRequest& request, TimePoint now);
    void countHandOff(const HandOffSample& sample, TimePoint readyAt, TimePoint now);
    [[nodiscard]] PullReply replyTo(const PullRequest& request, PullStatus status) const;

    RunSettings m_settings;
    RunName m_run;
    TimePoint m_now {}; ///< Time of the last call that checks the age of samples.
    control::Epoch m_epoch;
    VersionForecast m_forecast;
    WeightVersion m_servedVersion = std::numeric_limits<WeightVersion>::max();
    RecentDurations m_durations { 256 };
    SampleBuffer m_buffer;
    RunCounters m_counters;

    Groups m_groups;
    std::map<GroupId, internal::GroupOrder> m_orders;
    std::uint64_t m_lastOrdinal = 0;
    std::map<std::uint64_t, internal::StepProgress> m_steps;
    std::set<internal::PendingKey> m_pending;
    std::set<SampleKey> m_awaitingScoring;
    std::map<AttemptId, internal::RunningAttempt> m_running;
    AttemptId m_lastAttempt = 0;
    std::vector<AttemptId> m_cancelled;

    Sequence m_confirmed = 0;
    Sequence m_sent = 0; ///< Highest sequence number sent to the trainer.
    std::uint64_t m_generation = 0; ///< Incremented each time the scheduler is reloaded from the ledger.
    std::uint64_t m_recordedPull = 0; ///< Pull number of the last hand-off recorded in the ledger.
    std::uint64_t m_seenPull = 0;
    std::uint64_t m_answeredPull = 0;
    bool m_isTrainerWaiting = false;
    std::optional<std::uint64_t> m_committingPull; ///< Pull whose record is being committed.
    bool m_needsReload = false;
    bool m_isFenced = false;
};

}
