#pragma once

#include "azurepaddle/core/log.hpp"
#include "azurepaddle/pipeline/background_pool.hpp"
#include "azurepaddle/pipeline/caller_service.hpp"
#include "azurepaddle/pipeline/configuration_holder.hpp"
#include "azurepaddle/rollout/run_scheduler.hpp"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <stop_token>

namespace azurepaddle::pipeline {

/// Dependencies shared by the workers of all runs. The references must outlive the workers.
struct RunDependencies {
    const SystemClock& clock;
    const ConfigurationHolder& configuration;
    CallerService& callers;
    const Sender& sender;
    LiveDirectory& directory;
    BackgroundPool& background;
    metrics::Registry& metrics;
    ControlPort control;
    /// Reads the record of a run from the ledger.
    std::function<PipelineResult<control::RunRecord>(const RunName&, TimePoint)> readRun;
    Duration lease = std::chrono::seconds(5);
    std::size_t bufferBytes = 64U * 1024U * 1024U;
};

/// State of a run as shown to operators.
struct RunView {
    RunName name;
    rollout::RunCounters counters;
    WeightVersion version = 0;
    std::size_t openGroups = 0;
    std::size_t pending = 0;
    std::size_t running = 0;
};

/// Owns one run on this instance: renews the lease, generates and scores samples, and hands them off. A worker does no
/// further work once it has lost the lease; its successor restores the state of the run from the ledger. Thread-safe.
class RunWorker : public std::enable_shared_from_this<RunWorker> {
public:
    RunWorker(RunDependencies dependencies, RunName run, const control::RunRecord& record, TimePoint leaseStart);

    /// Starts attempts and scorings that are due and renews the lease. To be called several times a second.
    void tick();

    /// Returns false once the lease has expired, was released or has passed to another instance.
    [[nodiscard]] bool isOwner() const;

    /// Cancels running attempts and releases the lease.
    void release();

    [[nodiscard]] PipelineResult<void> submitGroups(const std::vector<control::GroupSpec>& groups, TimePoint deadline);
    [[nodiscard]] PipelineResult<void> setVersion(WeightVersion version, TimePoint deadline);
    /// Resets the run after its trainer was restored from a checkpoint. Returns the new cursor.
    [[nodiscard]] PipelineResult<control::Sequence> reset(control::Sequence heldCursor, WeightVersion version, std::uint64_t step, TimePoint deadline);
    /// Waits until samples are ready, but no longer than `waitUntil`, and hands them off.
    [[nodiscard]] PipelineResult<rollout::PullReply> pull(const rollout::PullRequest& request, TimePoint waitUntil, TimePoint deadline);

    [[nodiscard]] RunView view() const;
    /// Number of pulls in progress.
    [[nodiscard]] std::size_t inProgress() const;

private:
    /// An attempt that is running in the background.
    struct RunningAttempt {
        std::stop_source stop;
    };

    void renewLease();
    void endOwnership(const std::string& reason);
    [[nodiscard]] std::size_t freeSlots() const;
    void startAttempts();
    void startScorings();
    void runAttempt(const rollout::Attempt& attempt, const std::stop_token& stop);
    void recordDispatch(const rollout::Attempt& attempt, const Grant& grant);
    void runScoring(const rollout::ScoringTask& task);
    [[nodiscard]] std::optional<WorkItem> makeWorkItem(const std::string config::RunConfiguration::*serviceField) const;
    [[nodiscard]] std::optional<WorkItem> makeSampleItem(const rollout::Attempt& attempt) const;
    [[nodiscard]] std::optional<WorkItem> makeScoringItem(const rollout::ScoringTask& task) const;
    [[nodiscard]] PipelineResult<rollout::PullReply> commitHandOff(std::unique_lock<std::mutex>& lock, const rollout::HandOffPlan& plan, TimePoint deadline);
    void reload(std::unique_lock<std::mutex>& lock, TimePoint deadline);
    [[nodiscard]] PipelineResult<control::RunReply> submit(control::ControlAction action, TimePoint deadline) const;

    const RunDependencies m_dependencies;
    const RunName m_run;
    const Log m_log { "run" };
    mutable std::mutex m_mutex;
    std::condition_variable m_ready; ///< Notified when samples may have become ready or ownership ended.
    rollout::RunScheduler m_scheduler;
    control::Epoch m_epoch;
    TimePoint m_leaseExpiry;
    TimePoint m_nextRenewal;
    bool m_isRenewing = false;
    bool m_hasOwnershipEnded = false;
    std::size_t m_activeScorings = 0;
    std::size_t m_activePulls = 0;
    std::map<rollout::AttemptId, RunningAttempt> m_runningAttempts;
    rollout::RunCounters m_reportedCounters; ///< Counter values already added to the metrics.
};

}
