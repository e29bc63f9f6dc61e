#include "azurepaddle/routing/slow_detector.hpp"

#include <algorithm>
#include <vector>

namespace azurepaddle::routing {

namespace {

    constexpr double interTokenLatencySmoothing = 0.2;
    constexpr double timeToFirstTokenSmoothing = 0.3;

    double toSeconds(Duration value) noexcept
    {
        return std::chrono::duration<double>(value).count();
    }

    Duration fromSeconds(double seconds) noexcept
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    void updateAverage(double& average, double observation, double weight) noexcept
    {
        average = average == 0 ? observation : average + weight * (observation - average);
    }

    double medianOf(std::vector<double>& values)
    {
        if (values.empty())
            return 0;
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::nth_element(values.begin(), middle, values.end());
        return *middle;
    }

}

void SlowDetector::add(const EndpointId& endpoint)
{
    m_states.try_emplace(endpoint);
}

void SlowDetector::remove(const EndpointId& endpoint)
{
    m_states.erase(endpoint);
}

void SlowDetector::onInterTokenLatency(const EndpointId& endpoint, Duration latency, TimePoint now)
{
    const auto found = m_states.find(endpoint);
    if (found == m_states.end())
        return;
    State& state = found->second;
    const double seconds = toSeconds(latency);
    updateAverage(state.interTokenLatency, seconds, interTokenLatencySmoothing);
    state.lastTokenTime = now;
    recordObservation(state, isSlowInterTokenLatency(seconds));
}

void SlowDetector::onFirstToken(const EndpointId& endpoint, Duration time, TimePoint now)
{
    const auto found = m_states.find(endpoint);
    if (found == m_states.end())
        return;
    State& state = found->second;
    updateAverage(state.timeToFirstToken, toSeconds(time), timeToFirstTokenSmoothing);
    state.lastFirstTokenTime = now;
    if (isSlowFirstToken(state, toSeconds(time), now))
        recordObservation(state, true);
}

void SlowDetector::onPendingToken(const EndpointId& endpoint, Duration elapsed, bool isFirstToken, TimePoint now)
{
    const auto found = m_states.find(endpoint);
    if (found == m_states.end())
        return;
    const double seconds = toSeconds(elapsed);
    if (isFirstToken ? isSlowFirstToken(found->second, seconds, now) : isSlowInterTokenLatency(seconds))
        recordObservation(found->second, true);
}

void SlowDetector::recordObservation(State& state, bool isSlow) const noexcept
{
    state.slowObservations = isSlow ? state.slowObservations + 1 : 0;
    state.goodObservations = isSlow ? 0 : state.goodObservations + 1;
}

bool SlowDetector::isSlowInterTokenLatency(double seconds) const noexcept
{
    return m_medianInterTokenLatency > 0 && seconds > toSeconds(m_settings.minSlowInterTokenLatency) && seconds > m_settings.excludeRatio * m_medianInterTokenLatency;
}

bool SlowDetector::isSlowFirstToken(const State& state, double seconds, TimePoint now) const noexcept
{
    if (state.interTokenLatency > 0 && now - state.lastTokenTime < m_settings.minSlowTimeToFirstToken)
        return false;
    return m_medianTimeToFirstToken > 0 && seconds > toSeconds(m_settings.minSlowTimeToFirstToken)
        && seconds > m_settings.firstTokenRatio * m_medianTimeToFirstToken;
}

void SlowDetector::evaluate(TimePoint now)
{
    computeMedians(now);
    std::size_t excluded = excludedCount();
    for (auto& [endpoint, state] : m_states)
        updateHealth(state, now, excluded);
}

void SlowDetector::computeMedians(TimePoint now)
{
    std::vector<double> interTokenLatencies;
    std::vector<double> timesToFirstToken;
    for (const auto& [endpoint, state] : m_states) {
        if (state.interTokenLatency > 0 && now - state.lastTokenTime < m_settings.staleAfter)
            interTokenLatencies.push_back(state.interTokenLatency);
        if (state.timeToFirstToken > 0 && now - state.lastFirstTokenTime < m_settings.staleAfter)
            timesToFirstToken.push_back(state.timeToFirstToken);
    }
    m_peerCount = std::max(interTokenLatencies.size(), timesToFirstToken.size());
    m_medianInterTokenLatency = medianOf(interTokenLatencies);
    m_medianTimeToFirstToken = medianOf(timesToFirstToken);
}

void SlowDetector::updateHealth(State& state, TimePoint now, std::size_t& excluded) const
{
    const auto maxExcluded = static_cast<std::size_t>(m_settings.maxExcludedFraction * static_cast<double>(m_states.size()));
    const bool isSlow = state.slowObservations >= m_settings.observationsToExclude;
    if (state.health != Health::Excluded && isSlow && m_peerCount >= m_settings.minPeers && excluded < maxExcluded) {
        state.health = Health::Excluded;
        state.healthChangeTime = now;
        state.nextProbe = now + m_settings.probeInterval;
        state.goodObservations = 0;
        ++excluded;
        return;
    }
    const bool isRecovered = state.goodObservations >= m_settings.observationsToRecover && state.interTokenLatency < m_settings.recoveryRatio * m_medianInterTokenLatency;
    if (state.health == Health::Excluded && isRecovered) {
        state.health = Health::Recovering;
        state.healthChangeTime = now;
        --excluded;
    }
    if (state.health == Health::Recovering && now - state.healthChangeTime >= m_settings.recoveryPeriod)
        state.health = Health::Normal;
}

Health SlowDetector::health(const EndpointId& endpoint) const
{
    const auto found = m_states.find(endpoint);
    return found == m_states.end() ? Health::Normal : found->second.health;
}

bool SlowDetector::tryAcquireProbe(const EndpointId& endpoint, TimePoint now)
{
    const auto found = m_states.find(endpoint);
    if (found == m_states.end() || found->second.health != Health::Excluded || now < found->second.nextProbe)
        return false;
    found->second.nextProbe = now + m_settings.probeInterval;
    return true;
}

double SlowDetector::latencyRatio(const EndpointId& endpoint) const
{
    const auto found = m_states.find(endpoint);
    if (found == m_states.end() || found->second.interTokenLatency <= 0 || m_medianInterTokenLatency <= 0)
        return 1;
    return std::max(1.0, found->second.interTokenLatency / m_medianInterTokenLatency);
}

Duration SlowDetector::medianInterTokenLatency() const noexcept
{
    return fromSeconds(m_medianInterTokenLatency);
}

Duration SlowDetector::medianTimeToFirstToken() const noexcept
{
    return fromSeconds(m_medianTimeToFirstToken);
}

std::size_t SlowDetector::excludedCount() const noexcept
{
    const auto isExcluded = [](const auto& entry) { return entry.second.health == Health::Excluded; };
    return static_cast<std::size_t>(std::count_if(m_states.begin(), m_states.end(), isExcluded));
}

}
