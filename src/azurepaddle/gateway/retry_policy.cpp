#include "azurepaddle/gateway/retry_policy.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <string>

namespace azurepaddle::gateway {

namespace {

    // A refusal costs an endpoint little, but a request must not be tried at every endpoint of a full service.
    constexpr unsigned maxRefusals = 4;
    constexpr int hedgeDelayFactor = 4;
    constexpr Duration minHedgeDelay = std::chrono::milliseconds(50);
    constexpr std::string_view retryAfterSeconds = "0.1";

}

bool maySendAgain(const Route& route, const RetryState& state) noexcept
{
    if (state.refusals >= maxRefusals)
        return false;
    if (state.runs == 0)
        return true;
    const bool isRepeatable = route.kind == RouteKind::Idempotent || (route.kind == RouteKind::Streaming && route.isResumable);
    return isRepeatable && state.runs < route.maxAttempts;
}

std::optional<Duration> hedgeDelay(const Route& route, Duration typicalTime) noexcept
{
    if (route.kind != RouteKind::Idempotent || route.maxAttempts < 2)
        return std::nullopt;
    const Duration latest = std::max<Duration>(route.targetLatency / 2, minHedgeDelay);
    return std::clamp<Duration>(typicalTime * hedgeDelayFactor, minHedgeDelay, latest);
}

LimitDecision decideAtLimit(const Route& route, Duration elapsed, Duration untilPermit, Duration typicalTime) noexcept
{
    return elapsed + untilPermit + typicalTime <= route.targetLatency ? LimitDecision::Wait : LimitDecision::Refuse;
}

http1::Response makeRefusal(const RetryState& state, bool isTimeout, std::string_view reason)
{
    http1::Response response;
    response.status = state.runs == 0 ? 503 : isTimeout ? 504
                                                        : 502;
    response.fields.add("Content-Type", "text/plain");
    if (state.runs == 0)
        response.fields.add("Retry-After", std::string(retryAfterSeconds));
    response.body = std::string(reason) + "\n";
    return response;
}

http1::Response makeLimitRefusal(const RetryState& state, Duration untilPermit)
{
    http1::Response response = makeRefusal(state, false, limitRefusalReason);
    if (response.fields.contains("Retry-After"))
        response.fields.set("Retry-After", fmt::format("{:.3f}", std::chrono::duration<double>(untilPermit).count()));
    return response;
}

http1::Response makeCrashRefusal(const RetryState& state, Duration retryAfter)
{
    http1::Response response = makeRefusal(state, false, crashRefusalReason);
    if (response.fields.contains("Retry-After"))
        response.fields.set("Retry-After", std::to_string(std::chrono::ceil<std::chrono::seconds>(retryAfter).count()));
    return response;
}

}
