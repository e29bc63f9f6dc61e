#include "azurepaddle/routing/progress_deadlines.hpp"

#include <algorithm>
#include <cmath>

namespace azurepaddle::routing {

namespace {

    constexpr double smoothing = 0.02;
    constexpr std::size_t minObservations = 50;

    double inSeconds(Duration value) noexcept
    {
        return std::chrono::duration<double>(value).count();
    }

}

void ProgressDeadlines::onFirstToken(double promptTokens, Duration time)
{
    const std::lock_guard lock(m_mutex);
    observe(m_firstToken, inSeconds(time));
    m_meanPrompt += smoothing * (promptTokens - m_meanPrompt);
}

void ProgressDeadlines::onTokenGap(Duration gap)
{
    const std::lock_guard lock(m_mutex);
    observe(m_gap, inSeconds(gap));
}

Duration ProgressDeadlines::firstToken(double promptTokens) const
{
    const std::lock_guard lock(m_mutex);
    const double factor = m_meanPrompt > 1 ? std::max(1.0, promptTokens / m_meanPrompt) : 1.0;
    return deadline(m_firstToken, factor);
}

Duration ProgressDeadlines::nextToken() const
{
    const std::lock_guard lock(m_mutex);
    return deadline(m_gap, 1);
}

void ProgressDeadlines::observe(Observed& observed, double seconds) noexcept
{
    // The first observations are averaged evenly, the later ones exponentially.
    ++observed.count;
    const double weight = std::max(smoothing, 1.0 / static_cast<double>(observed.count));
    const double difference = seconds - observed.mean;
    observed.mean += weight * difference;
    observed.variance = (1 - weight) * (observed.variance + weight * difference * difference);
}

Duration ProgressDeadlines::deadline(const Observed& observed, double factor) const
{
    if (observed.count < minObservations)
        return m_settings.initial;
    const double seconds = factor * (observed.mean + m_settings.deviations * std::sqrt(observed.variance));
    const double bounded = std::min(seconds, inSeconds(m_settings.longest));
    return std::max(m_settings.shortest, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bounded)));
}

}
