#pragma once

#include "azurepaddle/core/address.hpp"
#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/random.hpp"
#include "azurepaddle/registry/entry_list.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace azurepaddle::gateway {

/// Chooses the entry instance that forwards a request in place of this one: the one with the fewest requests of this
/// instance in progress, in the own data centre if there is a choice, otherwise at random. Uses no network.
class RelayPeers {
public:
    RelayPeers(DataCentreName ownDataCentre, Random& random)
        : m_ownDataCentre(std::move(ownDataCentre))
        , m_random(random)
    {
    }

    /// Adds entries that take requests.
    void add(const std::vector<registry::EntryStatus>& entries, TimePoint now);
    /// Whether entries were added lately, so that they need not be searched for again.
    [[nodiscard]] bool isCurrent(TimePoint now) const;
    /// Empty if no entry that is not excluded took requests lately.
    [[nodiscard]] std::optional<InstanceAddress> choose(const std::set<InstanceAddress>& excluded, TimePoint now);
    void onStarted(const InstanceAddress& address);
    void onEnded(const InstanceAddress& address);
    /// Records that an entry takes no requests, or cannot be reached.
    void remove(const InstanceAddress& address) { m_peers.erase(address); }

private:
    struct Peer {
        DataCentreName dataCentre;
        TimePoint addedAt;
    };

    const DataCentreName m_ownDataCentre;
    Random& m_random;
    std::map<InstanceAddress, Peer> m_peers;
    std::map<InstanceAddress, unsigned> m_inProgress;
};

}
