#pragma once

#include "azurepaddle/routing/load_estimator.hpp"
#include "azurepaddle/routing/slow_detector.hpp"
#include "azurepaddle/routing/types.hpp"

#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace azurepaddle::routing {

/// Settings of the router. Costs are measured in generated tokens.
struct RouterSettings {
    std::uint32_t candidateCount = 4; ///< Endpoints whose costs are compared for each request.
    double promptTokenCost = 1.0 / 16; ///< Cost of one prompt token relative to one generated token.
    double prefixLifetimeSeconds = 120; ///< A prefix sent this long ago is still cached with probability 1/e.
    double reportedPrefixProbability = 0.9; ///< Probability that a prefix in the last cache report is still cached.
    double adapterLoadCost = 300;
    double remoteDataCentreCost = 2;
    double longWorkSlotFraction = 0.75; ///< Fraction of an endpoint's slots open to long work.
    /// Long work is sent only up to this fraction of the slots in use, as estimated.
    double maxUtilisationForLongWork = 0.9;
    /// An instance may exceed its share of an endpoint up to this fraction of the slots in use, as estimated.
    double maxUtilisationForBorrowing = 0.85;
    double maxUtilisationWhileRecovering = 0.5; ///< Fraction of the slots that is used after an exclusion.
    double otherInstancesWeight = 1; ///< Weight of the load changes assumed at the other instances; 0 ignores them.
    SlowDetectorSettings slowDetector;

    friend bool operator==(const RouterSettings&, const RouterSettings&) = default;
};

}

namespace azurepaddle::routing::internal {

/// The state of one endpoint as seen by this instance: the last report, the estimated load, this instance's slots and
/// the prompt prefixes sent to the endpoint. Thread-safe.
class EndpointState {
public:
    EndpointState(const EndpointView& view, const RouterSettings& settings);

    void update(const EndpointView& view, const InstanceShare& share);
    void setShare(const InstanceShare& share);

    [[nodiscard]] const EndpointId& id() const noexcept { return m_id; }

    /// Whether the endpoint serves the requested weight version, if any, and is not one of the endpoints to avoid.
    [[nodiscard]] bool canServe(const RequestProfile& profile) const;

    /// Whether this instance may use one more slot of the endpoint: within its own share, or beyond it while the
    /// endpoint has enough free slots. An endpoint that is recovering from an exclusion is used only in part.
    [[nodiscard]] bool hasCapacity(WorkClass workClass, Health health) const;

    /// The estimated tokens outstanding per slot if the request is sent to this endpoint, less the prompt tokens that
    /// are probably cached, multiplied by `latencyRatio`. Endpoints in other data centres cost a fixed amount more.
    [[nodiscard]] double cost(const RequestProfile& profile, double latencyRatio, const DataCentreName& localDataCentre, TimePoint now) const;

    /// The expected number of prompt tokens that the endpoint has cached.
    [[nodiscard]] double cachedTokens(const RequestProfile& profile, TimePoint now) const;

    [[nodiscard]] Load load() const;

    void onSent(const RequestProfile& profile, double tokens, TimePoint now);
    void onTokens(double tokens, TimePoint now);
    void onEnded(WorkClass workClass, double remainingTokens, TimePoint now);

private:
    [[nodiscard]] double scale() const noexcept;
    [[nodiscard]] double cachedTokensLocked(const RequestProfile& profile, TimePoint now) const;
    void computeSlotLimits(const InstanceShare& share);
    void recordPrefixes(const RequestProfile& profile, TimePoint now);

    const EndpointId m_id;
    const RouterSettings& m_settings;
    mutable std::mutex m_mutex;
    EndpointView m_view;
    LoadEstimator m_load;
    InstanceShare m_share;
    std::uint32_t m_slotsInShare = 0; ///< Slots in this instance's share.
    std::uint32_t m_longWorkSlots = 1; ///< Slots open to long work of all instances.
    std::uint32_t m_longWorkSlotsInShare = 0; ///< Slots open to long work in this instance's share.
    std::uint32_t m_longWorkInProgress = 0;
    /// The time at which each prefix was last sent to the endpoint.
    std::unordered_map<std::uint64_t, TimePoint> m_sentPrefixes;
};

}
