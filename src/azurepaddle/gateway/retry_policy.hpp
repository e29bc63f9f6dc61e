#pragma once

#include "azurepaddle/gateway/route_table.hpp"

namespace azurepaddle::gateway {

/// Why a request under which endpoints crashed is refused.
constexpr std::string_view crashRefusalReason = "endpoints crash under this request";

/// How a request has fared so far.
struct RetryState {
    unsigned runs = 0; ///< Endpoints that may have run it.
    unsigned refusals = 0; ///< Endpoints that stated that they did not.

    friend bool operator==(const RetryState&, const RetryState&) = default;
};

/// Whether a request of the route may be sent to one more endpoint.
[[nodiscard]] bool maySendAgain(const Route& route, const RetryState& state) noexcept;

/// How long an answer may take before a second endpoint is asked as well; nothing for routes that must not repeat.
[[nodiscard]] std::optional<Duration> hedgeDelay(const Route& route, Duration usualTime) noexcept;

/// The response to a request that is given up. It promises that the request never ran only if that is certain.
[[nodiscard]] http1::Response refusal(const RetryState& state, bool isTimeout, std::string_view reason);

/// The response to a request that crashes endpoints and may come back after a time.
[[nodiscard]] http1::Response crashRefusal(const RetryState& state, Duration comeBackAfter);

}
