#pragma once

#include "azurepaddle/gateway/route_table.hpp"

namespace azurepaddle::gateway {

/// Text of the response to a request that is refused because it crashes endpoints.
constexpr std::string_view crashRefusalReason = "endpoints crash under this request";
/// Text of the response to a request that exceeds the limits of endpoints.
constexpr std::string_view limitRefusalReason = "the endpoints take no more requests at present";

/// Earlier attempts of a request.
struct RetryState {
    unsigned runs = 0; ///< Endpoints that may have run the request.
    unsigned refusals = 0; ///< Endpoints that stated that they did not run the request.

    friend bool operator==(const RetryState&, const RetryState&) = default;
};

/// Whether a request of the route may be sent to one more endpoint.
[[nodiscard]] bool maySendAgain(const Route& route, const RetryState& state) noexcept;

/// Time without an answer after which the request is hedged, that is sent to a second endpoint as well; nothing for
/// routes whose requests must not be repeated.
[[nodiscard]] std::optional<Duration> hedgeDelay(const Route& route, Duration typicalTime) noexcept;

/// What to do with a request while no endpoint may get it before a limit permits it.
enum class LimitDecision : std::uint8_t {
    Wait, ///< It can still be answered within its target latency.
    Refuse,
};

/// Decides what to do with a request that may be sent after `untilPermit`. `elapsed` has passed since its arrival, and
/// its answer takes `typicalTime`.
[[nodiscard]] LimitDecision decideAtLimit(const Route& route, Duration elapsed, Duration untilPermit, Duration typicalTime) noexcept;

/// The response to a request that failed. It has status 503, which states that the request did not run, only if that is
/// certain.
[[nodiscard]] http1::Response makeRefusal(const RetryState& state, bool isTimeout, std::string_view reason);

/// The response to a request that is refused because it crashes endpoints, with the time after which it may be retried.
[[nodiscard]] http1::Response makeCrashRefusal(const RetryState& state, Duration retryAfter);

/// The response to a request that no endpoint may get within the limits that they name, with the time of the next
/// permit.
[[nodiscard]] http1::Response makeLimitRefusal(const RetryState& state, Duration untilPermit);

}
