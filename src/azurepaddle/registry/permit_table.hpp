#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/registry/requests.hpp"

namespace azurepaddle::registry {

/// Divides the requests that an endpoint takes from all instances together, for endpoints that name such a limit. Kept
/// by the leader in memory. One permit is granted for each request that is sent, retries and hedges included, so that the
/// instances may come, go and stop at any time. A new leader starts without permits to grant, because those of its
/// predecessor may have been used just before.
class PermitTable {
public:
    /// Grants or refuses a permit for one request that is sent at once. A refusal tells when the next permit is due.
    [[nodiscard]] PermitReply request(const PermitRequest& request, TimePoint now);
    /// Forgets all endpoints and instances.
    void clear() noexcept;

private:
    /// Permits of one incarnation of an endpoint that can be granted now. They become available at the rate of its limit.
    struct Bucket {
        std::uint64_t startedMs = 0;
        double permits = 0;
        TimePoint updatedAt {};
    };

    [[nodiscard]] Bucket& refill(const PermitRequest& request, double rate, TimePoint now);
    void removeUnused(TimePoint now);

    std::map<EndpointId, Bucket> m_buckets;
    std::map<std::string, TimePoint> m_instances; ///< Last request of each instance, by its name.
    TimePoint m_nextRemoval {};
};

}
