#include "azurepaddle/gateway/recent_answers.hpp"

#include <utility>

namespace azurepaddle::gateway {

void RecentAnswers::add(const registry::RequestFingerprint& request, TimePoint now)
{
    advance(now);
    m_present.insert(request);
}

bool RecentAnswers::contains(const registry::RequestFingerprint& request, TimePoint now)
{
    advance(now);
    return m_present.contains(request) || m_previous.contains(request);
}

/// Begins a new generation if the present one is old or full.
void RecentAnswers::advance(TimePoint now)
{
    const Duration age = now - m_since;
    if (age < generationTime && m_present.size() < maxGeneration)
        return;
    m_previous = age < 2 * generationTime ? std::exchange(m_present, {}) : std::set<registry::RequestFingerprint>();
    m_present.clear();
    m_since = now;
}

}
