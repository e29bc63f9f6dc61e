#include "azurepaddle/routing/progress_deadlines.hpp"

#include <algorithm>
#include <cmath>

namespace azurepaddle::routing {

namespace {

    constexpr double smoothing = 0.02;
    constexpr std::size_t minObservations = 50;

    double toSeconds(Duration value) noexcept
    {
        return std::chrono::duration<double>(value).count();
    }

}

void ProgressDeadlines::onFirstToken(double promptTokens, Duration time)
{
    const std::lock_guard lock(m_mutex);
    addObservation(m_timeToFirstToken, toSeconds(time));
    m_meanPromptTokens += smoothing * (promptTokens - m_meanPromptTokens);
}

void ProgressDeadlines::onInterTokenLatency(Duration latency)
{
    const std::lock_guard lock(m_mutex);
    addObservation(m_interTokenLatency, toSeconds(latency));
}

Duration ProgressDeadlines::firstTokenDeadline(double promptTokens) const
{
    const std::lock_guard lock(m_mutex);
    const double factor = m_meanPromptTokens > 1 ? std::max(1.0, promptTokens / m_meanPromptTokens) : 1.0;
    return computeDeadline(m_timeToFirstToken, factor);
}

Duration ProgressDeadlines::nextTokenDeadline() const
{
    const std::lock_guard lock(m_mutex);
    return computeDeadline(m_interTokenLatency, 1);
}

void ProgressDeadlines::addObservation(LatencyStatistics& statistics, double seconds) noexcept
{
    // The first observations are averaged evenly, the later ones exponentially.
    ++statistics.count;
    const double weight = std::max(smoothing, 1.0 / static_cast<double>(statistics.count));
    const double difference = seconds - statistics.mean;
    statistics.mean += weight * difference;
    statistics.variance = (1 - weight) * (statistics.variance + weight * difference * difference);
}

Duration ProgressDeadlines::computeDeadline(const LatencyStatistics& statistics, double factor) const
{
    if (statistics.count < minObservations)
        return m_settings.initialDeadline;
    const double seconds = factor * (statistics.mean + m_settings.deviationsAboveMean * std::sqrt(statistics.variance));
    const double bounded = std::min(seconds, toSeconds(m_settings.maxDeadline));
    return std::max(m_settings.minDeadline, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bounded)));
}

}
