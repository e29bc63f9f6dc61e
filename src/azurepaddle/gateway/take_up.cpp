#include "azurepaddle/gateway/take_up.hpp"

#include <algorithm>
#include <string>

namespace azurepaddle::gateway {

namespace {

    constexpr unsigned badRequest = 400;
    constexpr unsigned unavailable = 503;
    // Endpoints register within this time, in seconds, after a restart.
    constexpr std::string_view retryAfterSeconds = "1";

    /// Whether requests of the route may be sent to the service.
    bool allows(const Route& route, const ServiceName& service)
    {
        return std::any_of(route.services.begin(), route.services.end(), [&](const WeightedService& weighted) { return weighted.service == service && weighted.weight > 0; });
    }

}

ServiceName soleServiceOf(const Route& route)
{
    ServiceName sole;
    for (const WeightedService& weighted : route.services) {
        if (weighted.weight <= 0)
            continue;
        if (!sole.empty())
            return {};
        sole = weighted.service;
    }
    return sole;
}

TakeUpDecision decideTakeUp(const Route& route, const TakeUp& takeUp) noexcept
{
    if (takeUp.lastEvent == 0)
        return TakeUpDecision::Start;
    return route.isResumable ? TakeUpDecision::LookUp : TakeUpDecision::RefuseForGood;
}

TakeUpDecision decideTakeUp(const Route& route, OriginState state, const registry::StreamOrigin& origin, std::size_t endpoints) noexcept
{
    const bool canContinue = state == OriginState::Known && allows(route, origin.service) && endpoints > 0;
    return canContinue ? TakeUpDecision::Continue : TakeUpDecision::RefuseForNow;
}

std::string_view refusalReason(OriginState state) noexcept
{
    switch (state) {
    case OriginState::Known:
        return "no endpoint can continue the stream";
    case OriginState::Unknown:
        return "it is not known what began the stream";
    case OriginState::Unavailable:
        return "the beginning of the stream cannot be looked up";
    case OriginState::EndpointsOutdated:
        return "the endpoints that can continue the stream are not known yet";
    }
    return {};
}

http1::Response makeTakeUpRefusal(TakeUpDecision decision, std::string_view reason)
{
    http1::Response response;
    response.status = decision == TakeUpDecision::RefuseForGood ? badRequest : unavailable;
    response.fields.add("Content-Type", "text/plain");
    if (response.status == unavailable)
        response.fields.add("Retry-After", std::string(retryAfterSeconds));
    response.body = std::string(reason) + "\n";
    return response;
}

}
