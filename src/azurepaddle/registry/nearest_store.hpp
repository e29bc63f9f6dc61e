#pragma once

#include "azurepaddle/core/address.hpp"
#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/ident.hpp"

#include <map>
#include <optional>
#include <vector>

namespace azurepaddle::registry {

/// Chooses the store instance that an entry instance polls: one in its own data centre if there is one, and the same
/// one for as long as it answers. The data centre of an instance is known only from its replies, so members whose data
/// centre is unknown are tried before those known to be in another one. While none answers, each member is polled once
/// before any is polled again.
class NearestStore {
public:
    /// `startIndex` selects the store instance that is tried first among equally suitable ones. Entry instances with
    /// different start indices distribute their polling over the store instances.
    NearestStore(DataCentreName ownDataCentre, std::size_t startIndex)
        : m_ownDataCentre(std::move(ownDataCentre))
        , m_startIndex(startIndex)
    {
    }

    /// Replaces the addresses of store instances.
    void setMembers(const std::vector<InstanceAddress>& members);
    /// Adds an instance to which another one redirected.
    void add(const InstanceAddress& address);
    /// The instance to poll next; empty if none is known.
    [[nodiscard]] std::optional<InstanceAddress> choose(TimePoint now);
    void recordSuccess(const InstanceAddress& member, const DataCentreName& dataCentre);
    /// Avoids a member for a cooldown period, which grows with each failure of a retry while another member answers.
    void recordFailure(const InstanceAddress& member, TimePoint now);

private:
    struct Member {
        InstanceAddress address;
        std::optional<DataCentreName> dataCentre {}; ///< Empty until the member has answered.
        unsigned consecutiveFailures = 0; ///< Since any member answered.
        unsigned failedRetries = 0; ///< Consecutive failures while another member answered.
        TimePoint avoidUntil {};
    };

    [[nodiscard]] Member* find(const InstanceAddress& address);
    [[nodiscard]] int rankOf(const Member& member) const;
    [[nodiscard]] bool isBefore(const Member& first, const Member& second, TimePoint now) const;

    DataCentreName m_ownDataCentre;
    std::size_t m_startIndex;
    std::vector<Member> m_members;
    std::optional<InstanceAddress> m_current; ///< The member that answered the last poll; empty while none answers.
};

}
