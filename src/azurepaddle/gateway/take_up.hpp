#pragma once

#include "azurepaddle/gateway/route_table.hpp"
#include "azurepaddle/registry/streams.hpp"

#include <tl/expected.hpp>

namespace azurepaddle::gateway {

/// A caller's request to continue a stream whose connection ended early.
struct TakeUp {
    registry::StreamId stream; ///< Empty if the caller does not name the request that began the stream.
    std::uint64_t lastEvent = 0; ///< The last event that the caller holds; 0 for none.

    friend bool operator==(const TakeUp&, const TakeUp&) = default;
};

/// What is known about the beginning of a stream.
enum class OriginState : std::uint8_t {
    Known,
    Unknown, ///< The stream is not recorded, or no longer.
    Unavailable, ///< Nobody could be asked.
    EndpointsOutdated, ///< The origin is known, but endpoints of its service changed since this instance received them.
};

/// How to handle a request for a stream.
enum class TakeUpDecision : std::uint8_t {
    Start, ///< Any endpoint may run it, because the caller holds no event.
    LookUp, ///< The origin must be looked up first.
    Continue, ///< An endpoint with the software of the origin continues the stream.
    RefuseForGood, ///< The request can never be served.
    RefuseForNow, ///< Nothing can continue the stream at present.
};

/// The only service to which the route leads; empty if there are several.
[[nodiscard]] ServiceName soleServiceOf(const Route& route);

/// Decides about a request before its origin is looked up.
[[nodiscard]] TakeUpDecision decideTakeUp(const Route& route, const TakeUp& takeUp) noexcept;

/// Decides about a request with what the look-up found. `endpoints` is the number of endpoints that serve the service
/// and software of the origin. Never guesses an origin from the endpoints that serve at present.
[[nodiscard]] TakeUpDecision decideTakeUp(const Route& route, OriginState state, const registry::StreamOrigin& origin, std::size_t endpoints) noexcept;

/// The reason why a stream is not continued, for the caller and the log.
[[nodiscard]] std::string_view refusalReason(OriginState state) noexcept;

/// The response to a request for a stream that cannot be continued. The request did not run.
[[nodiscard]] http1::Response makeTakeUpRefusal(TakeUpDecision decision, std::string_view reason);

}
