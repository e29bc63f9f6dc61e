#pragma once

#include "options.hpp"
#include "pull_checker.hpp"

#include <condition_variable>
#include <thread>

namespace azurepaddle::standin {

struct TrainerOptions {
    std::string run;
    std::string service;
    std::string store;
    std::string cursorFile;
    std::string prefix = "g";
    std::uint64_t seed = 1;
    std::uint64_t steps = 10;
    std::uint64_t stepGroups = 8;
    std::uint64_t groupSize = 4;
    std::uint64_t stepsAhead = 2;
    std::uint64_t tokens = 64;
    double longFraction = 0.05;
    std::uint64_t longTokens = 256;
    std::int64_t trainMs = 200;
    std::int64_t versionEveryMs = 2000;
    std::uint64_t firstVersion = 1;
    std::uint64_t staleness = 1;
    std::int64_t durationMs = 0; ///< Ends after this time even if steps are missing; 0 for no limit.
    std::int64_t waitMs = 1000; ///< How long an instance may hold a pull that finds nothing.
    std::uint64_t maxSamples = 256;
    bool expectsScores = false;
};

/// A trainer: submits the groups of the next steps, pulls samples through the instances in turn, consumes whole steps,
/// and announces versions on a fixed schedule.
class Trainer {
public:
    Trainer(const TrainerOptions& options, InstanceAccess access);

    /// Runs until all steps are consumed, the time is over, or the service refuses the cursor.
    void run();

    [[nodiscard]] Json report() const;
    /// True if every step was consumed without a violation.
    [[nodiscard]] bool hasSucceeded() const;

private:
    struct Group {
        std::string id;
        std::uint64_t step = 0;
        ExpectedGroup expected;
    };

    [[nodiscard]] Group makeGroup(std::uint64_t step, std::uint64_t number) const;
    void loadCursor();
    void saveCursor(const Delivery& delivery);
    void submitGroups();
    void pullSamples();
    void pullOnce();
    void takeReply(const Pull& pull, const HttpReply& reply);
    void announceVersions();
    void announceVersion(std::uint64_t version);
    void consumeSteps();
    void note(const std::string& what);
    [[nodiscard]] bool sleepUnlessStopped(std::int64_t milliseconds);
    void stop();

    const TrainerOptions m_options;
    const InstanceAccess m_access;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isStopping = false;
    Violations m_violations;
    PullChecker m_checker;
    std::map<std::string, std::uint64_t> m_stepOfGroup;
    std::map<std::uint64_t, std::uint64_t> m_groupsOfStep; ///< Received groups by step.
    std::uint64_t m_submittedSteps = 0;
    std::uint64_t m_consumedSteps = 0;
    std::uint64_t m_version = 0;
    std::uint64_t m_cursor = 0;
    std::uint64_t m_pullNumber = 0;
    std::uint64_t m_samples = 0;
    std::map<std::uint64_t, std::uint64_t> m_staleness;
    std::map<std::string, std::uint64_t> m_notes;
    std::int64_t m_idleMs = 0;
    std::int64_t m_elapsedMs = 0;
    int m_cursorFile = -1;
};

}
