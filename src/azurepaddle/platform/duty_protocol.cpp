#include "azurepaddle/platform/duty_protocol.hpp"

#include "azurepaddle/platform/json.hpp"

namespace azurepaddle::platform {

namespace {

    /// A call to the platform, which names the holder of the order right and its fencing token.
    http1::Request dutyRequest(std::string path, const execution::DutyHolder& holder, const internal::Json& body)
    {
        return { "POST", std::move(path), { { "Host", "platform" }, { "X-Duty-Holder", holder.instance }, { "X-Fencing-Token", std::to_string(holder.fence) }, { "Content-Type", "application/json" } }, body.dump() };
    }

}

http1::Request DutyProtocol::usageRequest(const registry::WindowUsage& usage, const execution::DutyHolder& holder)
{
    internal::Json counts = internal::Json::object();
    for (const auto& [workspace, count] : usage.counts)
        counts[workspace] = count;
    return dutyRequest("/usage", holder, { { "window-id", usage.window }, { "counts", std::move(counts) } });
}

http1::Request DutyProtocol::scaleRequest(const scaling::ScaleOrder& order, const execution::DutyHolder& holder)
{
    internal::Json body { { "service", order.group.service.value() }, { "zone", order.group.dataCentre.value() }, { "group-count", order.count } };
    if (order.group.kind == scaling::EndpointKind::Spot)
        body["spot"] = true;
    return dutyRequest("/scale", holder, body);
}

}
