#include "azurepaddle/routing/endpoint_state.hpp"

#include <algorithm>
#include <cmath>
#include <functional>

namespace azurepaddle::routing::internal {

namespace {

    // Twice the number of prefixes that fit into an endpoint's cache of limited memory.
    constexpr std::size_t maxSentPrefixes = 2048;

}

EndpointState::EndpointState(const EndpointView& view, const RouterSettings& settings)
    : m_id(view.id)
    , m_settings(settings)
{
}

void EndpointState::update(const EndpointView& view, const InstanceShare& share)
{
    const std::lock_guard lock(m_mutex);
    const bool isSlotCountChanged = view.slots != m_view.slots;
    m_view = view;
    m_load.onReport({ static_cast<double>(view.running + view.queued), static_cast<double>(view.outstandingTokens) }, view.reportTime);
    if (isSlotCountChanged || !(share == m_share))
        computeSlotLimits(share);
}

void EndpointState::setShare(const InstanceShare& share)
{
    const std::lock_guard lock(m_mutex);
    computeSlotLimits(share);
}

void EndpointState::computeSlotLimits(const InstanceShare& share)
{
    m_share = share;
    const std::uint64_t offset = std::hash<EndpointId> {}(m_id);
    m_slotsInShare = slotsInRange(m_view.slots, share.slots, offset);
    // At least one slot is kept free of long work, unless the endpoint has only one slot.
    const auto openSlots = static_cast<std::uint32_t>(m_settings.longWorkSlotFraction * static_cast<double>(m_view.slots));
    const std::uint32_t longWorkSlots = std::clamp(openSlots, 1U, std::max(1U, m_view.slots - 1));
    m_longWorkSlots = longWorkSlots;
    m_longWorkSlotsInShare = slotsInRange(longWorkSlots, share.longWorkSlots, offset);
}

bool EndpointState::canServe(const RequestProfile& profile) const
{
    if (std::find(profile.avoidedEndpoints.begin(), profile.avoidedEndpoints.end(), m_id) != profile.avoidedEndpoints.end())
        return false;
    if (!profile.version && !profile.minVersion)
        return true;
    const std::lock_guard lock(m_mutex);
    return std::any_of(m_view.versions.begin(), m_view.versions.end(), [&](WeightVersion version) {
        return profile.version.value_or(version) == version && profile.minVersion.value_or(version) <= version;
    });
}

bool EndpointState::hasCapacity(WorkClass workClass, Health health) const
{
    const std::lock_guard lock(m_mutex);
    const double limit = (health == Health::Recovering ? m_settings.maxUtilisationWhileRecovering : 1.0);
    const double inProgress = m_load.inProgress().requests;
    const double slots = static_cast<double>(m_view.slots);
    const double estimatedRequests = m_load.requestsUpperBound(scale()) + 1;
    // Beyond the slots in the share of this instance, long work is sent only if all requests of the endpoint together
    // fit into the slots open to long work.
    if (workClass == WorkClass::Long && m_longWorkInProgress >= m_longWorkSlotsInShare && (m_longWorkInProgress >= m_longWorkSlots || estimatedRequests > m_longWorkSlots))
        return false;
    if (workClass == WorkClass::Long && estimatedRequests > m_settings.maxUtilisationForLongWork * slots)
        return false;
    return inProgress + 1 <= limit * static_cast<double>(m_slotsInShare) || estimatedRequests <= limit * m_settings.maxUtilisationForBorrowing * slots;
}

double EndpointState::cost(const RequestProfile& profile, double latencyRatio, const DataCentreName& localDataCentre, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    double tokens = m_load.estimate(scale()).tokens + profile.outputTokens;
    tokens += m_settings.promptTokenCost * (profile.promptTokens - cachedTokensLocked(profile, now));
    const bool hasAdapter = profile.adapter.empty()
        || std::find(m_view.adapters.begin(), m_view.adapters.end(), profile.adapter) != m_view.adapters.end();
    tokens += hasAdapter ? 0 : m_settings.adapterLoadCost;
    const double perSlot = tokens / static_cast<double>(std::max(1U, m_view.slots));
    return perSlot * latencyRatio + (m_view.dataCentre == localDataCentre ? 0 : m_settings.remoteDataCentreCost);
}

double EndpointState::cachedTokens(const RequestProfile& profile, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    return cachedTokensLocked(profile, now);
}

double EndpointState::cachedTokensLocked(const RequestProfile& profile, TimePoint now) const
{
    double best = 0;
    for (std::size_t i = 0; i < profile.prefixes.size(); ++i) {
        double probability = 0;
        const auto sent = m_sentPrefixes.find(profile.prefixes[i]);
        if (sent != m_sentPrefixes.end())
            probability = std::exp(-std::chrono::duration<double>(now - sent->second).count() / m_settings.prefixLifetimeSeconds);
        const auto& reported = m_view.cachedPrefixes;
        if (std::find(reported.begin(), reported.end(), profile.prefixes[i]) != reported.end())
            probability = std::max(probability, m_settings.reportedPrefixProbability);
        best = std::max(best, probability * static_cast<double>(i + 1) * profile.tokensPerPrefix);
    }
    return std::min(best, profile.promptTokens);
}

Load EndpointState::load() const
{
    const std::lock_guard lock(m_mutex);
    return m_load.estimate(scale());
}

void EndpointState::onSent(const RequestProfile& profile, double tokens, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    m_load.onSent(now, tokens);
    m_longWorkInProgress += profile.workClass == WorkClass::Long ? 1 : 0;
    recordPrefixes(profile, now);
}

void EndpointState::onTokens(double tokens, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    m_load.onTokens(now, tokens);
}

void EndpointState::onEnded(WorkClass workClass, double remainingTokens, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    m_load.onEnded(now, remainingTokens);
    m_longWorkInProgress -= workClass == WorkClass::Long ? 1 : 0;
}

// The factor by which load changes by this instance are multiplied to account for the other instances.
double EndpointState::scale() const noexcept
{
    const double others = 1.0 / std::clamp(m_share.trafficFraction, 0.001, 1.0) - 1;
    return 1 + m_settings.otherInstancesWeight * others;
}

void EndpointState::recordPrefixes(const RequestProfile& profile, TimePoint now)
{
    if (m_sentPrefixes.size() + profile.prefixes.size() > maxSentPrefixes) {
        const Duration lifetime = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_settings.prefixLifetimeSeconds));
        std::erase_if(m_sentPrefixes, [&](const auto& entry) { return now - entry.second > lifetime; });
    }
    if (m_sentPrefixes.size() + profile.prefixes.size() > maxSentPrefixes)
        m_sentPrefixes.clear();
    for (const std::uint64_t prefix : profile.prefixes)
        m_sentPrefixes[prefix] = now;
}

}
