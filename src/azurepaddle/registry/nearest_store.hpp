#pragma once

#include "azurepaddle/core/address.hpp"
#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/ident.hpp"

#include <map>
#include <optional>
#include <vector>

namespace azurepaddle::registry {

/// Chooses the store instance that an entry instance polls: one in its own data centre if there is one, and the same one
/// for as long as it answers. Instances say in which data centre they are only in their answers, so each is asked once.
class NearestStore {
public:
    /// Instances that poll take different members by their starting points.
    NearestStore(DataCentreName own, std::size_t startingPoint)
        : m_own(std::move(own))
        , m_startingPoint(startingPoint)
    {
    }

    /// Replaces the addresses of store instances.
    void setMembers(const std::vector<InstanceAddress>& members);
    /// Adds an instance that another one named.
    void add(const InstanceAddress& address);
    /// The one to poll next; nothing if none is known.
    [[nodiscard]] std::optional<InstanceAddress> choose(TimePoint now);
    void recordSuccess(const InstanceAddress& member, const DataCentreName& dataCentre);
    /// Passes over a member for a while.
    void recordFailure(const InstanceAddress& member, TimePoint now);

private:
    struct Member {
        InstanceAddress address;
        std::optional<DataCentreName> dataCentre; ///< Nothing until it answered.
        TimePoint avoidUntil {};
    };

    [[nodiscard]] Member* find(const InstanceAddress& address);
    [[nodiscard]] int rankOf(const Member& member, TimePoint now) const;

    DataCentreName m_own;
    std::size_t m_startingPoint;
    std::vector<Member> m_members;
    std::optional<InstanceAddress> m_current; ///< The last one that answered.
};

}
