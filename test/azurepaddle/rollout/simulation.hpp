#pragma once

#include "azurepaddle/control/control_state.hpp"
#include "azurepaddle/core/random.hpp"
#include "azurepaddle/rollout/run_scheduler.hpp"

#include <deque>
#include <memory>
#include <optional>
#include <set>

namespace azurepaddle::rollout::test {

/// State of a trainer. A checkpoint is a copy of it.
struct TrainerState {
    Sequence cursor = 0;
    WeightVersion version = 1;
    std::set<SampleKey> accepted;
    std::uint64_t step = 1; ///< Lowest step with groups not accepted.
};

/// An instance that owns the run, or a previous owner that has not detected its replacement.
struct Owner {
    control::Epoch epoch = 0;
    RunScheduler scheduler;
    std::optional<HandOffPlan> pendingPlan; ///< Plan whose commit has not been answered.
    std::map<AttemptId, TimePoint> engineFinishTimes; ///< Finish times of attempts in progress.
    std::map<AttemptId, WeightVersion> startVersions;
    std::map<AttemptId, Attempt> attempts;
};

/// Simulates a run end to end in virtual time: owners are replaced while they are paused, ledger replies are lost or
/// late, engines fail, are slow and return wrong labels, and trainer calls are lost, delayed, duplicated and
/// reordered.
class Simulation {
public:
    static constexpr std::uint64_t stalenessBound = 1;
    static constexpr std::uint64_t steps = 12;
    static constexpr std::uint32_t groupsPerStep = 4;
    static constexpr std::uint32_t samplesPerGroup = 3;

    explicit Simulation(std::uint64_t seed, bool isScored);
    /// Runs until all samples are accepted. Fails the test if a guarantee is violated or the run takes too long.
    void run();

    [[nodiscard]] std::uint64_t resets() const { return m_resets; }
    [[nodiscard]] std::uint64_t ownerChanges() const { return m_owners.size() - 1; }
    [[nodiscard]] std::uint64_t voided() const { return m_voided; }

private:
    struct Commit {
        std::size_t owner = 0;
        HandOffPlan plan;
        control::CommandId id;
        TimePoint arrives;
    };
    struct Call {
        PullRequest request;
        TimePoint arrives;
    };
    struct Answer {
        PullReply reply;
        TimePoint arrives;
    };

    void require(bool condition, const std::string& failure) const;
    control::RunReply commit(control::ControlAction action);
    control::RunReply apply(const control::CommandId& id, control::ControlAction action);
    const control::RunRecord& record() const { return *m_ledger.runs().find(RunName("run")); }
    Owner& current() { return *m_owners.back(); }
    TimePoint randomTimeWithin(std::int64_t milliseconds) { return m_now + std::chrono::milliseconds(m_random.below(static_cast<std::uint64_t>(milliseconds))); }

    void changeOwner();
    void submitStep(std::uint64_t step);
    void runEngines(Owner& owner);
    SampleBody generate(const Owner& owner, AttemptId id);
    void deliverCalls();
    void handleCall(std::size_t owner, const PullRequest& request);
    void deliverCommits();
    void applyCommit(const Commit& commit);
    void deliverAnswers();
    void accept(const PullReply& reply);
    [[nodiscard]] bool isStepComplete(std::uint64_t step) const;
    void runTrainer();
    void announceVersion();
    void restoreTrainer();
    void resetRun();

    std::uint64_t m_seed;
    Random m_random;
    bool m_isScored;
    control::ControlState m_ledger;
    std::uint64_t m_commands = 0;
    TimePoint m_now { std::chrono::seconds(10) };
    std::vector<std::unique_ptr<Owner>> m_owners;
    std::deque<Commit> m_commits;
    std::deque<Call> m_calls;
    std::deque<Answer> m_answers;
    TrainerState m_trainer;
    TrainerState m_checkpoint;
    std::uint64_t m_pull = 0;
    TimePoint m_pulledAt {};
    std::uint64_t m_submitted = 0;
    std::uint64_t m_resets = 0;
    std::uint64_t m_voided = 0;
};

}
