#include "azurepaddle/gateway/relay_peers.hpp"

#include <tuple>

namespace azurepaddle::gateway {

namespace {

    // An entry that has lost its own links, or drains, is forgotten after this time without being named again.
    constexpr Duration maxAge = std::chrono::seconds(3);
    constexpr Duration searchInterval = std::chrono::seconds(1);

}

void RelayPeers::add(const std::vector<registry::EntryStatus>& entries, TimePoint now)
{
    for (const registry::EntryStatus& entry : entries) {
        if (const auto address = entry.takesRequests ? parseAddress(entry.address) : std::nullopt)
            m_peers[*address] = { entry.dataCentre, now };
    }
}

bool RelayPeers::isCurrent(TimePoint now) const
{
    for (const auto& [address, peer] : m_peers) {
        if (now - peer.addedAt < searchInterval)
            return true;
    }
    return false;
}

std::optional<InstanceAddress> RelayPeers::choose(const std::set<InstanceAddress>& excluded, TimePoint now)
{
    std::erase_if(m_peers, [now](const auto& entry) { return now - entry.second.addedAt > maxAge; });
    std::optional<std::tuple<unsigned, bool, double>> lowest;
    std::optional<InstanceAddress> best;
    for (const auto& [address, peer] : m_peers) {
        if (excluded.contains(address))
            continue;
        const auto counted = m_inProgress.find(address);
        const std::tuple<unsigned, bool, double> cost { counted == m_inProgress.end() ? 0 : counted->second, peer.dataCentre != m_ownDataCentre, m_random.uniform() };
        if (!lowest || cost < *lowest) {
            lowest = cost;
            best = address;
        }
    }
    return best;
}

void RelayPeers::onStarted(const InstanceAddress& address)
{
    ++m_inProgress[address];
}

void RelayPeers::onEnded(const InstanceAddress& address)
{
    const auto found = m_inProgress.find(address);
    if (found != m_inProgress.end() && --found->second == 0)
        m_inProgress.erase(found);
}

}
