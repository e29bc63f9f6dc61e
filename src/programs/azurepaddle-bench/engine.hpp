#pragma once

#include "job.hpp"
#include "simulator.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

namespace azurepaddle::bench {

/// Speed and limits of the model of an engine.
struct EngineSpec {
    std::uint32_t slots = 16;
    double baseSeconds = 0.012; ///< Of one iteration, whatever the batch.
    double secondsPerRequest = 0.0005; ///< Added by each request in the batch.
    double secondsPerPromptToken = 0.00008;
    double promptChunk = 256; ///< Prompt tokens processed in one iteration.
    std::size_t cachedPrefixes = 64;
};

/// What an engine tells about itself.
struct EngineReport {
    bool isAlive = true;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint64_t outstandingTokens = 0;
    TimePoint time {};
    WeightVersion version = 0;
    std::vector<std::uint64_t> cachedPrefixes;
};

/// A model of an engine with continuous batching: the time of an iteration grows with the batch and with prompt
/// tokens, and every running request gets one token in it.
class Engine {
public:
    /// Tokens (one for each execution) and completions after an iteration.
    using Output = std::function<void(const std::vector<ExecutionPointer>&)>;
    using Lost = std::function<void(const ExecutionPointer&)>;

    Engine(Simulator& simulator, const EngineSpec& spec, Output output, Lost lost);

    void submit(const ExecutionPointer& execution);
    void cancel(const ExecutionPointer& execution);
    void crash();
    void restart();
    void setSlow(double factor) noexcept { m_slow = factor; }
    /// Loads a version; nothing is generated meanwhile.
    void swap(WeightVersion version, Duration pause);

    [[nodiscard]] EngineReport report() const;
    [[nodiscard]] bool isAlive() const noexcept { return m_isAlive; }
    [[nodiscard]] double slow() const noexcept { return m_slow; }
    [[nodiscard]] std::size_t running() const noexcept { return m_running.size(); }
    [[nodiscard]] std::size_t queued() const noexcept { return m_queue.size(); }
    [[nodiscard]] const EngineSpec& spec() const noexcept { return m_spec; }
    [[nodiscard]] const std::vector<ExecutionPointer>& executions() const noexcept { return m_running; }
    /// Seconds of one iteration without prompt work with this batch.
    [[nodiscard]] double iterationSeconds(std::size_t batch) const noexcept;

private:
    void start();
    void finishIteration();
    void admit();
    [[nodiscard]] double processPrompts();
    void useCache(Execution& execution);

    Simulator& m_simulator;
    EngineSpec m_spec;
    Output m_output;
    Lost m_lost;
    std::vector<ExecutionPointer> m_running;
    std::deque<ExecutionPointer> m_queue; ///< By priority, then by arrival.
    std::list<std::uint64_t> m_cacheOrder; ///< The most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_cache;
    double m_slow = 1;
    bool m_isAlive = true;
    bool m_isBusy = false;
    std::uint64_t m_epoch = 0; ///< Rises with each crash; iterations of earlier epochs are void.
    TimePoint m_pausedUntil {};
    WeightVersion m_version = 1;
};

}
