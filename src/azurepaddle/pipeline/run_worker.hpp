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

/// What the workers of all runs share. The references outlive them.
struct RunDependencies {
    const SystemClock& clock;
    const ConfigurationHolder& configuration;
    CallerService& callers;
    const Sender& sender;
    LiveDirectory& directory;
    BackgroundPool& background;
    metrics::Registry& metrics;
    ControlPort control;
    std::function<PipelineResult<control::RunRecord>(const RunName&, TimePoint)> readRun; ///< The ledger's record of a run.
    Duration lease = std::chrono::seconds(5);
    std::size_t bufferBytes = 64U * 1024U * 1024U;
};

/// A run for operators.
struct RunView {
    RunName name;
    rollout::RunCounters counters;
    WeightVersion version = 0;
    std::size_t openGroups = 0;
    std::size_t pending = 0;
    std::size_t running = 0;
};

/// Owns one run on this instance: keeps the lease, generates and scores samples, and hands them off. A worker whose
/// lease was lost does nothing more; a new one starts from the ledger. Thread-safe.
class RunWorker : public std::enable_shared_from_this<RunWorker> {
public:
    RunWorker(RunDependencies parts, RunName run, const control::RunRecord& record, TimePoint leaseStart);

    /// Starts attempts and scorings that are due and renews the lease. To be called several times a second.
    void tick();

    /// False once the lease has ended or passed to another instance.
    [[nodiscard]] bool isOwner() const;

    /// Cancels what runs and gives the lease back.
    void release();

    [[nodiscard]] PipelineResult<void> submitGroups(const std::vector<control::GroupSpec>& groups, TimePoint deadline);
    [[nodiscard]] PipelineResult<void> setVersion(WeightVersion version, TimePoint deadline);
    /// Resets the run after its trainer was restored from a checkpoint. Returns the new cursor.
    [[nodiscard]] PipelineResult<control::Sequence> reset(control::Sequence held, WeightVersion version, std::uint64_t step, TimePoint deadline);
    /// Waits until samples are ready, at most until the time given, and hands them off.
    [[nodiscard]] PipelineResult<rollout::PullReply> pull(const rollout::PullRequest& request, TimePoint waitUntil, TimePoint deadline);

    [[nodiscard]] RunView view() const;
    /// Requests and hand-offs in progress.
    [[nodiscard]] std::size_t inProgress() const;

private:
    /// An attempt that runs in the background.
    struct Running {
        std::stop_source stop;
    };

    void renewLease();
    void loseLease(const std::string& reason);
    [[nodiscard]] std::size_t freeSlots() const;
    void startAttempts();
    void startScorings();
    void runAttempt(const rollout::Attempt& attempt, const std::stop_token& stop);
    void noteSent(const rollout::Attempt& attempt, const Grant& grant);
    void runScoring(const rollout::ScoringTask& task);
    [[nodiscard]] std::optional<WorkItem> itemFor(const std::string config::RunConfiguration::*serviceOf) const;
    [[nodiscard]] std::optional<WorkItem> sampleItem(const rollout::Attempt& attempt) const;
    [[nodiscard]] std::optional<WorkItem> scoringItem(const rollout::ScoringTask& task) const;
    [[nodiscard]] PipelineResult<rollout::PullReply> commitHandOff(std::unique_lock<std::mutex>& lock, const rollout::HandOffPlan& plan, TimePoint deadline);
    void reload(std::unique_lock<std::mutex>& lock, TimePoint deadline);
    [[nodiscard]] PipelineResult<control::RunReply> submit(control::ControlAction action, TimePoint deadline) const;

    const RunDependencies m_parts;
    const RunName m_run;
    const Log m_log { "run" };
    mutable std::mutex m_mutex;
    std::condition_variable m_ready; ///< Samples became ready.
    rollout::RunScheduler m_scheduler;
    control::Epoch m_epoch;
    TimePoint m_leaseEnds;
    TimePoint m_nextRenewal;
    bool m_isRenewing = false;
    bool m_isLost = false;
    std::size_t m_scoring = 0;
    std::size_t m_pulls = 0;
    std::map<rollout::AttemptId, Running> m_running;
    rollout::RunCounters m_counted; ///< Already added to the metrics.
};

}
