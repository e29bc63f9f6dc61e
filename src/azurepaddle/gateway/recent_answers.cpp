#include "azurepaddle/gateway/recent_answers.hpp"

#include <utility>

namespace azurepaddle::gateway {

void RecentAnswers::add(const registry::RequestFingerprint& request, TimePoint now)
{
    rotateIfDue(now);
    m_current.insert(request);
}

bool RecentAnswers::contains(const registry::RequestFingerprint& request, TimePoint now)
{
    rotateIfDue(now);
    return m_current.contains(request) || m_previous.contains(request);
}

/// Starts a new generation if the current one is too old or full.
void RecentAnswers::rotateIfDue(TimePoint now)
{
    const Duration age = now - m_generationStart;
    if (age < generationTime && m_current.size() < maxGeneration)
        return;
    m_previous = age < 2 * generationTime ? std::exchange(m_current, {}) : std::set<registry::RequestFingerprint>();
    m_current.clear();
    m_generationStart = now;
}

}
