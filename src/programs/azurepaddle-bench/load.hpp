#pragma once

#include "world.hpp"

#include <memory>
#include <unordered_set>
#include <vector>

namespace azurepaddle::bench {

/// Open arrivals of application requests and calls, and the trainers. Equal seeds give equal requests whatever the
/// instances decide.
class Load {
public:
    explicit Load(World& world);

    void start();
    /// Adds up the idle time of the trainers and checks the samples.
    void complete();

    /// The latest published weight version.
    [[nodiscard]] WeightVersion version() const noexcept { return m_version; }
    void publish(WeightVersion version) noexcept { m_version = version; }

private:
    struct Step {
        std::size_t missing = 0;
        std::vector<WeightVersion> oldest; ///< Of the samples received, by index; 0 while missing.
        std::vector<JobPointer> jobs;
    };

    struct Trainer {
        TrainerSpec spec;
        std::size_t tenant = 0;
        std::size_t instance = 0;
        std::size_t current = 0; ///< Step waited for or trained on.
        bool isTraining = false;
        TimePoint freeSince {};
        Duration idle {};
        std::map<std::size_t, Step> steps;
        std::unordered_set<std::uint64_t> received; ///< Samples, by job.
    };

    void startStream(std::size_t index);
    void arriveApplication(std::size_t index, Random& random);
    void arrivePlain(Random& random);
    void startCrashingCaller();
    void submitStep(std::size_t trainer, std::size_t step);
    [[nodiscard]] JobPointer makeSample(std::size_t trainer, std::size_t step, std::size_t index, std::size_t generation);
    void onNotFinished(const Job& job);
    void onSample(const Job& job, const Execution& execution);
    void tryTrain(std::size_t trainer);
    [[nodiscard]] bool discardStale(std::size_t trainer, Step& step);
    void train(std::size_t trainer, Step& step);
    [[nodiscard]] double capacity() const;

    World& m_world;
    std::vector<Random> m_randoms;
    std::vector<Trainer> m_trainers;
    std::function<void()> m_crashingCaller;
    std::uint64_t m_nextJob = 1;
    WeightVersion m_version = 1;
    double m_stalenessSum = 0;
};

/// Slowdowns, crashes, swaps and silent connections of the scenario.
class Faults {
public:
    Faults(World& world, Load& load);

    void start();

private:
    void scheduleSlowdown(std::size_t engine);
    void startSwap();
    void swapWave(std::size_t first, WeightVersion version);

    World& m_world;
    Load& m_load;
    Random m_random;
    std::size_t m_modelEngines;
};

}
