#include "azurepaddle/admission/concurrency_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace azurepaddle::admission {

namespace {

    constexpr double baselineSmoothing = 0.05;
    constexpr double limitSmoothing = 0.3;
    constexpr double minLatencySeconds = 0.001; // Shorter times are within the noise of the network.

}

bool ConcurrencyLimiter::hasCapacity(const EndpointId& endpoint) const
{
    const Shard& shard = shardOf(endpoint);
    const std::lock_guard lock(shard.mutex);
    const auto state = shard.states.find(endpoint);
    if (state == shard.states.end())
        return true;
    return static_cast<double>(state->second.inProgress) + 1 <= state->second.limit;
}

void ConcurrencyLimiter::onSent(const EndpointId& endpoint)
{
    Shard& shard = shardOf(endpoint);
    const std::lock_guard lock(shard.mutex);
    State& state = stateOf(shard, endpoint);
    ++state.inProgress;
    state.maxInProgress = std::max(state.maxInProgress, state.inProgress);
}

void ConcurrencyLimiter::onFirstToken(const EndpointId& endpoint, Duration time)
{
    Shard& shard = shardOf(endpoint);
    const std::lock_guard lock(shard.mutex);
    State& state = stateOf(shard, endpoint);
    state.latencySum += std::max(minLatencySeconds, std::chrono::duration<double>(time).count());
    ++state.observations;
    if (state.observations >= m_settings.window)
        adjust(state);
}

void ConcurrencyLimiter::onEnded(const EndpointId& endpoint)
{
    Shard& shard = shardOf(endpoint);
    const std::lock_guard lock(shard.mutex);
    State& state = stateOf(shard, endpoint);
    state.inProgress -= state.inProgress > 0 ? 1 : 0;
}

void ConcurrencyLimiter::remove(const EndpointId& endpoint)
{
    Shard& shard = shardOf(endpoint);
    const std::lock_guard lock(shard.mutex);
    shard.states.erase(endpoint);
}

double ConcurrencyLimiter::limit(const EndpointId& endpoint) const
{
    const Shard& shard = shardOf(endpoint);
    const std::lock_guard lock(shard.mutex);
    const auto state = shard.states.find(endpoint);
    return state == shard.states.end() ? m_settings.initialLimit : state->second.limit;
}

ConcurrencyLimiter::State& ConcurrencyLimiter::stateOf(Shard& shard, const EndpointId& endpoint) const
{
    State& state = shard.states[endpoint];
    if (state.limit == 0)
        state.limit = m_settings.initialLimit;
    return state;
}

void ConcurrencyLimiter::adjust(State& state) const noexcept
{
    const double meanLatency = state.latencySum / static_cast<double>(state.observations);
    state.baseline = state.baseline == 0 ? meanLatency : state.baseline;
    // The baseline rises slowly and falls at once, so that a long overload does not become the new baseline.
    state.baseline = std::min(meanLatency, state.baseline + baselineSmoothing * (meanLatency - state.baseline));
    const double gradient = std::clamp(m_settings.tolerance * state.baseline / meanLatency, 0.5, 1.0);
    const bool isLimitUsed = 2 * static_cast<double>(state.maxInProgress) >= state.limit;
    const double headroom = isLimitUsed ? std::sqrt(state.limit) : 0;
    const double target = state.limit * gradient + (gradient < 1 ? 0 : headroom);
    state.limit += limitSmoothing * (target - state.limit);
    state.limit = std::clamp(state.limit, m_settings.minLimit, m_settings.maxLimit);
    state.latencySum = 0;
    state.observations = 0;
    state.maxInProgress = state.inProgress;
}

}
