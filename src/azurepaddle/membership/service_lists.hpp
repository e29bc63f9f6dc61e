#pragma once

#include "azurepaddle/membership/endpoint.hpp"

#include <array>
#include <shared_mutex>
#include <unordered_map>
#include <vector>

namespace azurepaddle::membership::internal {

/// The endpoints of each service in this instance's order of preference. Thread-safe; a reader takes only the shared
/// lock of the shard that contains the service.
class ServiceLists {
public:
    ServiceLists(InstanceId self, DataCentreName dataCentre)
        : m_self(std::move(self))
        , m_dataCentre(std::move(dataCentre))
    {
    }

    /// Adds or replaces the record of an endpoint.
    void insertOrUpdate(const EndpointPointer& record, TimePoint expiresAt);

    /// Sets the lease expiry of an endpoint.
    void extendLease(const EndpointAnnouncement& announcement, TimePoint expiresAt);

    void remove(const EndpointAnnouncement& announcement);

    /// The first `limit` endpoints of the service that are not draining and whose lease has not expired.
    [[nodiscard]] CandidateList candidates(const ServiceName& service, TimePoint now, std::size_t limit) const;

private:
    struct Rank {
        bool isRemote = false; ///< In another data centre; sorts last.
        std::uint64_t inverseScore = 0;
        EndpointId id;

        // clang-tidy 14 mistakes the 0 in a rewritten comparison for a null pointer.
        friend auto operator<=>(const Rank&, const Rank&) = default; // NOLINT(modernize-use-nullptr)
        friend bool operator==(const Rank&, const Rank&) = default;
    };
    struct RankedEndpoint {
        Rank rank;
        EndpointPointer record;
        TimePoint expiresAt;
    };
    struct Shard {
        mutable std::shared_mutex mutex;
        std::unordered_map<ServiceName, std::vector<RankedEndpoint>> services;
    };
    static constexpr std::size_t shardCount = 16;

    [[nodiscard]] Rank rankOf(const EndpointAnnouncement& announcement) const;
    [[nodiscard]] Shard& shardOf(const ServiceName& service) { return m_shards[std::hash<ServiceName> {}(service) % shardCount]; }
    [[nodiscard]] const Shard& shardOf(const ServiceName& service) const { return m_shards[std::hash<ServiceName> {}(service) % shardCount]; }
    [[nodiscard]] static std::vector<RankedEndpoint>::iterator findRanked(std::vector<RankedEndpoint>& endpoints, const Rank& rank);

    InstanceId m_self;
    DataCentreName m_dataCentre;
    std::array<Shard, shardCount> m_shards;
};

}
