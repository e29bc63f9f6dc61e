#include "engine.hpp"

#include <algorithm>

namespace azurepaddle::bench {

Engine::Engine(Simulator& simulator, const EngineSpec& spec, Output output, Lost lost)
    : m_simulator(simulator)
    , m_spec(spec)
    , m_output(std::move(output))
    , m_lost(std::move(lost))
{
}

double Engine::iterationSeconds(std::size_t batch) const noexcept
{
    return m_slow * (m_spec.baseSeconds + m_spec.secondsPerRequest * static_cast<double>(batch));
}

void Engine::submit(const ExecutionPointer& execution)
{
    if (!m_isAlive) {
        execution->isLost = true;
        m_lost(execution);
        return;
    }
    const auto later = [&](const ExecutionPointer& other) { return other->priority > execution->priority; };
    m_queue.insert(std::find_if(m_queue.begin(), m_queue.end(), later), execution);
    start();
}

void Engine::cancel(const ExecutionPointer& execution)
{
    execution->isCancelled = true;
    std::erase(m_queue, execution);
    std::erase(m_running, execution);
}

void Engine::crash()
{
    if (!m_isAlive)
        return;
    m_isAlive = false;
    m_isBusy = false;
    ++m_epoch;
    m_cache.clear();
    m_cacheOrder.clear();
    std::vector<ExecutionPointer> lost = std::move(m_running);
    lost.insert(lost.end(), m_queue.begin(), m_queue.end());
    m_running.clear();
    m_queue.clear();
    for (const ExecutionPointer& execution : lost) {
        execution->isLost = true;
        m_lost(execution);
    }
}

void Engine::restart()
{
    m_isAlive = true;
    m_slow = 1;
}

void Engine::swap(WeightVersion version, Duration pause)
{
    m_version = version;
    m_pausedUntil = m_simulator.now() + pause;
}

void Engine::start()
{
    if (m_isBusy || !m_isAlive)
        return;
    admit();
    if (m_running.empty())
        return;
    m_isBusy = true;
    const double seconds = iterationSeconds(m_running.size()) + m_slow * processPrompts() * m_spec.secondsPerPromptToken;
    const Duration pause = std::max(Duration {}, m_pausedUntil - m_simulator.now());
    m_simulator.after(pause + fromSeconds(seconds), [this, epoch = m_epoch] {
        if (epoch == m_epoch)
            finishIteration();
    });
}

void Engine::admit()
{
    while (m_running.size() < m_spec.slots && !m_queue.empty()) {
        const ExecutionPointer execution = m_queue.front();
        m_queue.pop_front();
        execution->isRunning = true;
        execution->prefillLeft = execution->job->promptTokens;
        ++execution->job->starts;
        useCache(*execution);
        m_running.push_back(execution);
    }
}

void Engine::useCache(Execution& execution)
{
    const Job& job = *execution.job;
    double cached = 0;
    for (std::size_t i = 0; i < job.prefixes.size(); ++i) {
        const auto found = m_cache.find(job.prefixes[i]);
        if (found != m_cache.end()) {
            cached = static_cast<double>(i + 1) * job.tokensPerPrefix;
            m_cacheOrder.erase(found->second);
        }
        m_cacheOrder.push_front(job.prefixes[i]);
        m_cache[job.prefixes[i]] = m_cacheOrder.begin();
    }
    while (m_cacheOrder.size() > m_spec.cachedPrefixes) {
        m_cache.erase(m_cacheOrder.back());
        m_cacheOrder.pop_back();
    }
    execution.prefillLeft = std::max(0.0, execution.prefillLeft - cached);
}

double Engine::processPrompts()
{
    double left = m_spec.promptChunk;
    for (const ExecutionPointer& execution : m_running) {
        const double part = std::min(left, execution->prefillLeft);
        execution->prefillLeft -= part;
        left -= part;
    }
    return m_spec.promptChunk - left;
}

void Engine::finishIteration()
{
    m_isBusy = false;
    std::vector<ExecutionPointer> output;
    for (const ExecutionPointer& execution : m_running) {
        if (execution->prefillLeft > 0)
            continue;
        ++execution->generated;
        if (execution->spans.empty() || execution->spans.back() != m_version)
            execution->spans.push_back(m_version);
        execution->isComplete = execution->generated >= execution->job->outputTokens;
        output.push_back(execution);
    }
    const auto crashing = std::find_if(output.begin(), output.end(), [](const auto& execution) { return execution->job->crashesEndpoint; });
    if (crashing != output.end())
        return crash();
    std::erase_if(m_running, [](const ExecutionPointer& execution) { return execution->isComplete; });
    if (!output.empty())
        m_output(output);
    start();
}

EngineReport Engine::report() const
{
    EngineReport result;
    result.isAlive = m_isAlive;
    result.running = static_cast<std::uint32_t>(m_running.size());
    result.queued = static_cast<std::uint32_t>(m_queue.size());
    result.time = m_simulator.now();
    result.version = m_version;
    double tokens = 0;
    for (const ExecutionPointer& execution : m_running)
        tokens += std::max(8.0, execution->estimate - execution->generated);
    for (const ExecutionPointer& execution : m_queue)
        tokens += execution->estimate;
    result.outstandingTokens = static_cast<std::uint64_t>(tokens);
    result.cachedPrefixes.assign(m_cacheOrder.begin(), m_cacheOrder.end());
    return result;
}

}
