#include "azurepaddle/routing/slow_detector.hpp"

#include <algorithm>
#include <vector>

namespace azurepaddle::routing {

namespace {

    constexpr double gapSmoothing = 0.2;
    constexpr double firstTokenSmoothing = 0.3;

    double inSeconds(Duration value) noexcept
    {
        return std::chrono::duration<double>(value).count();
    }

    Duration fromSeconds(double seconds) noexcept
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    void smooth(double& value, double observation, double factor) noexcept
    {
        value = value == 0 ? observation : value + factor * (observation - value);
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

void SlowDetector::onTokenGap(const EndpointId& endpoint, Duration gap, TimePoint now)
{
    const auto found = m_states.find(endpoint);
    if (found == m_states.end())
        return;
    State& state = found->second;
    const double seconds = inSeconds(gap);
    smooth(state.gap, seconds, gapSmoothing);
    state.gapTime = now;
    judge(state, isSlowGap(seconds));
}

void SlowDetector::onFirstToken(const EndpointId& endpoint, Duration time, TimePoint now)
{
    const auto found = m_states.find(endpoint);
    if (found == m_states.end())
        return;
    State& state = found->second;
    smooth(state.firstToken, inSeconds(time), firstTokenSmoothing);
    state.firstTokenTime = now;
    if (isSlowFirstToken(state, inSeconds(time), now))
        judge(state, true);
}

void SlowDetector::onSilence(const EndpointId& endpoint, Duration silence, bool beforeFirstToken, TimePoint now)
{
    const auto found = m_states.find(endpoint);
    if (found == m_states.end())
        return;
    const double seconds = inSeconds(silence);
    if (beforeFirstToken ? isSlowFirstToken(found->second, seconds, now) : isSlowGap(seconds))
        judge(found->second, true);
}

void SlowDetector::judge(State& state, bool slow) const noexcept
{
    state.slowObservations = slow ? state.slowObservations + 1 : 0;
    state.goodObservations = slow ? 0 : state.goodObservations + 1;
}

bool SlowDetector::isSlowGap(double seconds) const noexcept
{
    return m_medianGap > 0 && seconds > inSeconds(m_settings.tokenFloor) && seconds > m_settings.excludeRatio * m_medianGap;
}

bool SlowDetector::isSlowFirstToken(const State& state, double seconds, TimePoint now) const noexcept
{
    if (state.gap > 0 && now - state.gapTime < m_settings.firstTokenFloor)
        return false;
    return m_medianFirstToken > 0 && seconds > inSeconds(m_settings.firstTokenFloor)
        && seconds > m_settings.firstTokenRatio * m_medianFirstToken;
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
    std::vector<double> gaps;
    std::vector<double> firstTokens;
    for (const auto& [endpoint, state] : m_states) {
        if (state.gap > 0 && now - state.gapTime < m_settings.staleAfter)
            gaps.push_back(state.gap);
        if (state.firstToken > 0 && now - state.firstTokenTime < m_settings.staleAfter)
            firstTokens.push_back(state.firstToken);
    }
    m_peers = std::max(gaps.size(), firstTokens.size());
    m_medianGap = medianOf(gaps);
    m_medianFirstToken = medianOf(firstTokens);
}

void SlowDetector::updateHealth(State& state, TimePoint now, std::size_t& excluded) const
{
    const auto maxExcluded = static_cast<std::size_t>(m_settings.maxExcludedShare * static_cast<double>(m_states.size()));
    const bool isSlow = state.slowObservations >= m_settings.observationsToExclude;
    if (state.health != Health::Excluded && isSlow && m_peers >= m_settings.minPeers && excluded < maxExcluded) {
        state.health = Health::Excluded;
        state.healthTime = now;
        state.nextProbe = now + m_settings.probeInterval;
        state.goodObservations = 0;
        ++excluded;
        return;
    }
    const bool isRecovered = state.goodObservations >= m_settings.observationsToReturn && state.gap < m_settings.returnRatio * m_medianGap;
    if (state.health == Health::Excluded && isRecovered) {
        state.health = Health::Returning;
        state.healthTime = now;
        --excluded;
    }
    if (state.health == Health::Returning && now - state.healthTime >= m_settings.returnPeriod)
        state.health = Health::Normal;
}

Health SlowDetector::health(const EndpointId& endpoint) const
{
    const auto found = m_states.find(endpoint);
    return found == m_states.end() ? Health::Normal : found->second.health;
}

bool SlowDetector::takeProbe(const EndpointId& endpoint, TimePoint now)
{
    const auto found = m_states.find(endpoint);
    if (found == m_states.end() || found->second.health != Health::Excluded || now < found->second.nextProbe)
        return false;
    found->second.nextProbe = now + m_settings.probeInterval;
    return true;
}

double SlowDetector::slowness(const EndpointId& endpoint) const
{
    const auto found = m_states.find(endpoint);
    if (found == m_states.end() || found->second.gap <= 0 || m_medianGap <= 0)
        return 1;
    return std::max(1.0, found->second.gap / m_medianGap);
}

Duration SlowDetector::medianGap() const noexcept
{
    return fromSeconds(m_medianGap);
}

Duration SlowDetector::medianFirstToken() const noexcept
{
    return fromSeconds(m_medianFirstToken);
}

std::size_t SlowDetector::excludedCount() const noexcept
{
    const auto isExcluded = [](const auto& entry) { return entry.second.health == Health::Excluded; };
    return static_cast<std::size_t>(std::count_if(m_states.begin(), m_states.end(), isExcluded));
}

}
