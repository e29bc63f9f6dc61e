#include "azurepaddle/gateway/link_monitor.hpp"

#include <algorithm>

namespace azurepaddle::gateway {

namespace {

    constexpr std::size_t firstProbes = 4;
    // Limits the connections that instances without links open at once. That all of these endpoints have crashed while
    // others serve is unlikely.
    constexpr std::size_t maxProbes = 36;
    // A single endpoint that cannot be reached may have crashed.
    constexpr std::size_t minProbes = 2;
    // Failures of many requests at once start one round.
    constexpr Duration minRoundInterval = std::chrono::milliseconds(300);

}

void LinkMonitor::recordContact()
{
    m_wasReachable = true;
}

void LinkMonitor::recordFailure(TimePoint now)
{
    if (!m_isSuspected && !isRoundInProgress() && m_state == LinkState::Up)
        m_nextRound = std::max(m_nextRound, now);
    m_isSuspected = true;
}

bool LinkMonitor::isRoundDue(TimePoint now) const noexcept
{
    const bool isWanted = m_isSuspected || m_state == LinkState::Cut;
    return isWanted && !isRoundInProgress() && now >= m_nextRound;
}

std::vector<registry::EndpointRecord> LinkMonitor::beginRound(const std::vector<registry::EndpointRecord>& endpoints, TimePoint now)
{
    m_nextRound = now + minRoundInterval;
    m_isSuspected = false;
    m_wasReachable = false;
    m_probedEndpoints = 0;
    // While the links are cut, the next round follows soon and probes other endpoints.
    m_unprobed = chooseProbes(endpoints, m_state == LinkState::Cut ? firstProbes : maxProbes);
    return takeProbes(firstProbes);
}

std::vector<registry::EndpointRecord> LinkMonitor::continueRound()
{
    return m_pendingProbes > 0 ? std::vector<registry::EndpointRecord>() : takeProbes(maxProbes);
}

/// Takes the next endpoints to probe in the current round.
std::vector<registry::EndpointRecord> LinkMonitor::takeProbes(std::size_t most)
{
    const auto end = m_unprobed.begin() + static_cast<std::ptrdiff_t>(std::min(most, m_unprobed.size()));
    std::vector<registry::EndpointRecord> probes(m_unprobed.begin(), end);
    m_unprobed.erase(m_unprobed.begin(), end);
    m_pendingProbes = probes.size();
    m_probedEndpoints += probes.size();
    return probes;
}

/// Chooses endpoints of all data centres in turn.
std::vector<registry::EndpointRecord> LinkMonitor::chooseProbes(const std::vector<registry::EndpointRecord>& endpoints, std::size_t most)
{
    std::map<DataCentreName, std::vector<const registry::EndpointRecord*>> byDataCentre;
    for (const registry::EndpointRecord& endpoint : endpoints) {
        if (endpoint.state == registry::EndpointState::Ready)
            byDataCentre[endpoint.dataCentre].push_back(&endpoint);
    }
    std::size_t available = 0;
    for (const auto& [dataCentre, members] : byDataCentre)
        available += members.size();
    const std::size_t wanted = std::min(most, available);
    const std::size_t first = m_rotation++;
    std::vector<registry::EndpointRecord> probes;
    for (std::size_t turn = 0; probes.size() < wanted; ++turn) {
        for (const auto& [dataCentre, members] : byDataCentre) {
            if (turn < members.size() && probes.size() < wanted)
                probes.push_back(*members[(first + turn) % members.size()]);
        }
    }
    return probes;
}

std::optional<LinkState> LinkMonitor::recordProbe(bool isReachable)
{
    m_wasReachable = m_wasReachable || isReachable;
    if (m_pendingProbes == 0 || --m_pendingProbes > 0)
        return std::nullopt;
    if (m_wasReachable)
        m_unprobed.clear();
    return m_unprobed.empty() ? endRound() : std::nullopt;
}

std::optional<LinkState> LinkMonitor::endRound()
{
    if (m_probedEndpoints < minProbes && !m_wasReachable)
        return std::nullopt;
    const LinkState state = m_wasReachable ? LinkState::Up : LinkState::Cut;
    if (std::exchange(m_state, state) == state)
        return std::nullopt;
    return state;
}

}
