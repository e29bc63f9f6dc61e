#pragma once

#include "azurepaddle/gateway/route_table.hpp"

namespace azurepaddle::gateway {

/// Text of the response to a request that is refused because it crashes endpoints.
constexpr std::string_view crashRefusalReason = "endpoints crash under this request";

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

/// The response to a request that failed. It has status 503, which states that the request did not run, only if that is
/// certain.
[[nodiscard]] http1::Response makeRefusal(const RetryState& state, bool isTimeout, std::string_view reason);

/// The response to a request that is refused because it crashes endpoints, with the time after which it may be retried.
[[nodiscard]] http1::Response makeCrashRefusal(const RetryState& state, Duration retryAfter);

}
