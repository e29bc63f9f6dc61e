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

/// What routing needs to know of an endpoint. The caller fills it from the endpoint's announcement.
struct EndpointView {
    EndpointId id;
    ServiceName service;
    DataCentreName dataCentre;
    std::uint32_t slots = 1; ///< Requests that the endpoint runs at once.
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint64_t outstandingTokens = 0; ///< Tokens still to be generated for running and queued requests, as estimated.
    TimePoint reportTime {}; ///< When the load was true, on the clock of this process.
    std::vector<WeightVersion> versions; ///< Loaded weight versions. Empty on a plain service.
    std::vector<std::string> adapters; ///< Loaded adapters.
    std::vector<std::uint64_t> cachedPrefixes; ///< Hashes of prompt prefixes in its cache; late, with gaps.

    friend bool operator==(const EndpointView&, const EndpointView&) = default;
};

/// What routing needs to know of a request.
struct RequestProfile {
    ServiceName service;
    WorkClass workClass = WorkClass::Short;
    double promptTokens = 0;
    double outputTokens = 1; ///< Estimate of the tokens to generate.
    std::vector<std::uint64_t> prefixes; ///< Hashes of the prompt's prefixes, the shortest first.
    double tokensPerPrefix = 0; ///< Each further prefix is longer by this many tokens.
    std::string adapter; ///< Empty if none is needed.
    std::optional<WeightVersion> version; ///< Only endpoints with this version are eligible.
    std::optional<WeightVersion> minVersion; ///< Only endpoints that serve this version or a newer one are eligible.
    std::vector<EndpointId> avoidedEndpoints; ///< Endpoints already tried, or running another copy.

    friend bool operator==(const RequestProfile&, const RequestProfile&) = default;
};

enum class RoutingErrorCode : unsigned char {
    NoEndpoint, ///< No endpoint offers the service, version included.
    NoCapacity, ///< Every eligible endpoint is full or excluded as slow. The request stays queued.
};

using RoutingError = LayerError<RoutingErrorCode>;

/// The part [begin, end) of the slots of every endpoint that this instance may use without asking. The parts of all
/// instances divide [0, 1), so that together they never exceed an endpoint's slots.
struct SlotRange {
    double begin = 0;
    double end = 1;

    friend bool operator==(const SlotRange&, const SlotRange&) = default;
};

/// What the exchange between instances says about this instance's part of all work.
struct InstanceShare {
    SlotRange slots; ///< Of all slots.
    SlotRange longWorkSlots; ///< Of the slots open to long work.
    double trafficFraction = 1; ///< This instance's fraction of all tokens sent to endpoints, above 0.

    friend bool operator==(const InstanceShare&, const InstanceShare&) = default;
};

/// A request in progress whose endpoint makes no progress or is excluded as slow: a candidate for a hedged copy.
struct SlowAttempt {
    AttemptId attempt = 0;
    EndpointId endpoint;
    WorkClass workClass = WorkClass::Short;
    std::uint32_t tokens = 0; ///< Received so far.
    Duration age {}; ///< Since it was sent.
    Duration timeSinceLastToken {}; ///< Since the last token.

    friend bool operator==(const SlowAttempt&, const SlowAttempt&) = default;
};

/// The number of an endpoint's slots that a part contains. Over parts that divide [0, 1) the numbers add up to all slots;
/// an offset that differs between endpoints spreads the remainders evenly over the instances.
[[nodiscard]] std::uint32_t slotsInRange(std::uint32_t slots, const SlotRange& part, std::uint64_t offset) noexcept;

}
