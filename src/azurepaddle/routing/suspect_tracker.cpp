#include "azurepaddle/routing/suspect_tracker.hpp"

#include "azurepaddle/core/digest.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace azurepaddle::routing {

Fingerprint fingerprintOf(const TenantName& tenant, std::string_view model, std::string_view body)
{
    // The length prefixes keep different requests from having the same concatenation.
    return Fingerprint(sha256Hex(fmt::format("{}:{}{}:{}{}", tenant.value().size(), tenant.value(), model.size(), model, body)));
}

void SuspectTracker::onSent(const Fingerprint& fingerprint, const EndpointId& endpoint)
{
    const std::lock_guard lock(m_mutex);
    ++m_inProgress[endpoint][fingerprint];
}

void SuspectTracker::onEnded(const Fingerprint& fingerprint, const EndpointId& endpoint)
{
    const std::lock_guard lock(m_mutex);
    const auto requests = m_inProgress.find(endpoint);
    if (requests == m_inProgress.end())
        return;
    const auto entry = requests->second.find(fingerprint);
    if (entry == requests->second.end())
        return;
    if (--entry->second == 0)
        requests->second.erase(entry);
    if (requests->second.empty())
        m_inProgress.erase(requests);
}

std::vector<Fingerprint> SuspectTracker::onEndpointFailed(const EndpointId& endpoint)
{
    const std::lock_guard lock(m_mutex);
    std::vector<Fingerprint> result;
    const auto requests = m_inProgress.find(endpoint);
    if (requests == m_inProgress.end())
        return result;
    for (const auto& [fingerprint, count] : requests->second)
        result.push_back(fingerprint);
    m_inProgress.erase(requests);
    m_suspects.insert(result.begin(), result.end());
    std::sort(result.begin(), result.end());
    return result;
}

bool SuspectTracker::isSuspect(const Fingerprint& fingerprint) const
{
    const std::lock_guard lock(m_mutex);
    return m_suspects.count(fingerprint) > 0;
}

void SuspectTracker::addSuspect(const Fingerprint& fingerprint)
{
    const std::lock_guard lock(m_mutex);
    m_suspects.insert(fingerprint);
}

void SuspectTracker::clear(const Fingerprint& fingerprint)
{
    const std::lock_guard lock(m_mutex);
    m_suspects.erase(fingerprint);
}

}
