#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/error.hpp"
#include "azurepaddle/core/ident.hpp"
#include "azurepaddle/core/work.hpp"
#include "azurepaddle/routing/fwd.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace azurepaddle::routing {

/// The properties and the reported load of an endpoint. The caller fills them in from the endpoint's announcement.
struct EndpointView {
    EndpointId id;
    ServiceName service;
    DataCentreName dataCentre;
    std::uint32_t slots = 1; ///< Requests that the endpoint can run concurrently.
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// Tokens still to be generated for running and queued requests, as estimated.
    std::uint64_t outstandingTokens = 0;
    TimePoint reportTime {}; ///< Time at which the load was measured, on the clock of this process.
    std::vector<WeightVersion> versions; ///< Loaded weight versions. Empty for a service without versioned weights.
    std::vector<std::string> adapters; ///< Loaded adapters.
    std::vector<std::uint64_t> cachedPrefixes; ///< Hashes of prompt prefixes in its cache; outdated and incomplete.

    friend bool operator==(const EndpointView&, const EndpointView&) = default;
};

/// The properties of a request that decide where it may run and what it costs.
struct RequestProfile {
    ServiceName service;
    WorkClass workClass = WorkClass::Short;
    double promptTokens = 0;
    double outputTokens = 1; ///< Estimate of the tokens to generate.
    std::vector<std::uint64_t> prefixes; ///< Hashes of the prompt's prefixes, shortest first.
    double tokensPerPrefix = 0; ///< Each prefix is longer than the one before it by this many tokens.
    std::string adapter; ///< Empty if none is needed.
    std::optional<WeightVersion> version; ///< Only endpoints with this version are eligible.
    std::optional<WeightVersion> minVersion; ///< Only endpoints that serve this version or a newer one are eligible.
    std::vector<EndpointId> avoidedEndpoints; ///< Endpoints that were already tried or run another copy.

    friend bool operator==(const RequestProfile&, const RequestProfile&) = default;
};

enum class RoutingErrorCode : unsigned char {
    NoEndpoint, ///< No endpoint serves the service, or none has the requested version.
    NoCapacity, ///< Every eligible endpoint is full or excluded as slow. The request stays queued.
};

using RoutingError = LayerError<RoutingErrorCode>;

/// The range [begin, end) of the slots of every endpoint that this instance may use without coordination with the other
/// instances. The ranges of all instances partition [0, 1), so that together they never exceed an endpoint's slots.
struct SlotRange {
    double begin = 0;
    double end = 1;

    friend bool operator==(const SlotRange&, const SlotRange&) = default;
};

/// The share of the endpoints' capacity that the exchange between instances assigns to this instance.
struct InstanceShare {
    SlotRange slots; ///< Range of all slots.
    SlotRange longWorkSlots; ///< Range of the slots open to long work.
    double trafficFraction = 1; ///< This instance's fraction of all tokens sent to endpoints, above 0.

    friend bool operator==(const InstanceShare&, const InstanceShare&) = default;
};

/// An attempt in progress on an endpoint that is excluded as slow. It is a candidate for a hedged copy.
struct SlowAttempt {
    AttemptId attempt = 0;
    EndpointId endpoint;
    WorkClass workClass = WorkClass::Short;
    std::uint32_t receivedTokens = 0; ///< So far.
    Duration timeSinceSent {};
    Duration timeSinceLastToken {}; ///< Since sending, if no token was received yet.

    friend bool operator==(const SlowAttempt&, const SlowAttempt&) = default;
};

/// Returns the number of an endpoint's slots that lie in a range. For ranges that partition [0, 1) the numbers add up
/// to `slots`. A different `offset` for each endpoint distributes the rounding remainders evenly over the instances.
[[nodiscard]] std::uint32_t slotsInRange(std::uint32_t slots, const SlotRange& range, std::uint64_t offset) noexcept;

}
