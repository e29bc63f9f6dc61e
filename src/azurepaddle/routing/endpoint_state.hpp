#pragma once

#include "azurepaddle/routing/load_estimator.hpp"
#include "azurepaddle/routing/slow_detector.hpp"
#include "azurepaddle/routing/types.hpp"

#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace azurepaddle::routing {

/// Settings of the router. Costs are in tokens to generate.
struct RouterSettings {
    std::uint32_t candidateCount = 4; ///< Endpoints compared for one choice.
    double promptTokenCost = 1.0 / 16; ///< Work of one prompt token against one token to generate.
    double prefixLifetimeSeconds = 120; ///< A prefix sent this long ago is in the cache with probability 1/e.
    double reportedPrefixProbability = 0.9; ///< That a prefix in the last cache report is still cached.
    double adapterLoadCost = 300;
    double remoteDataCentreCost = 2;
    double longWorkSlotFraction = 0.75; ///< Part of an endpoint's slots open to long work.
    double maxUtilisationForLongWork = 0.9; ///< Long work is sent only while the estimated requests stay below this fraction of the slots.
    double maxUtilisationForBorrowing = 0.85; ///< An endpoint estimated below this fraction of its slots lends slots beyond the own part.
    double returningLoad = 0.5; ///< Part of the slots used on an endpoint that returns from an exclusion.
    double otherInstancesWeight = 1; ///< How far changes of the load by this instance stand for those of all instances.
    SlowSettings slow;

    friend bool operator==(const RouterSettings&, const RouterSettings&) = default;
};

}

namespace azurepaddle::routing::internal {

/// What the router knows of one endpoint. Thread-safe.
class EndpointState {
public:
    EndpointState(const EndpointView& view, const RouterSettings& settings);

    void update(const EndpointView& view, const InstanceShare& share);
    void setShare(const InstanceShare& share);

    [[nodiscard]] const EndpointId& id() const noexcept { return m_id; }
    [[nodiscard]] bool offers(const RequestProfile& profile) const;

    /// Whether the endpoint has a slot for the request. `health` limits an endpoint that returns from an exclusion.
    [[nodiscard]] bool hasCapacity(WorkClass workClass, Health health) const;

    /// Outstanding tokens if the request is sent here, less what is saved by a likely prefix hit.
    [[nodiscard]] double cost(const RequestProfile& profile, double slowness, const DataCentreName& here, TimePoint now) const;

    /// Prompt tokens that are probably cached.
    [[nodiscard]] double cachedTokens(const RequestProfile& profile, TimePoint now) const;

    [[nodiscard]] Load load() const;

    void onSent(const RequestProfile& profile, double tokens, TimePoint now);
    void onTokens(double tokens, TimePoint now);
    void onEnded(WorkClass workClass, double remainingTokens, TimePoint now);

private:
    [[nodiscard]] double scale() const noexcept;
    [[nodiscard]] double cachedTokensLocked(const RequestProfile& profile, TimePoint now) const;
    void computeParts(const InstanceShare& share);
    void rememberPrefixes(const RequestProfile& profile, TimePoint now);

    const EndpointId m_id;
    const RouterSettings& m_settings;
    mutable std::mutex m_mutex;
    EndpointView m_view;
    LoadEstimator m_load;
    InstanceShare m_share;
    std::uint32_t m_ownSlots = 0; ///< Slots of this instance's part.
    std::uint32_t m_openLongSlots = 1; ///< To long work of all instances.
    std::uint32_t m_ownLongSlots = 0;
    std::uint32_t m_longInProgress = 0;
    std::unordered_map<std::uint64_t, TimePoint> m_sentPrefixes;
};

}
