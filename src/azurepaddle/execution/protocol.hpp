#pragma once

#include "azurepaddle/batch/types.hpp"
#include "azurepaddle/gateway/forwarder.hpp"
#include "azurepaddle/http1/event_stream.hpp"
#include "azurepaddle/http1/message.hpp"

#include <concepts>
#include <optional>

namespace azurepaddle::execution {

/// An order to an endpoint to load a version of a model's weights.
struct LoadOrder {
    EndpointId endpoint;
    batch::ModelName model;
    WeightVersion version = 0;
    std::string holder; ///< Instance that holds the order right.
    std::uint64_t fence = 0; ///< Fencing token of the holder.
    std::optional<std::uint64_t> expectedOrders; ///< Number of orders accepted by the endpoint so far; the endpoint refuses the order if its count differs.

    friend bool operator==(const LoadOrder&, const LoadOrder&) = default;
};

/// The weights held by an endpoint, as it reports them.
struct EndpointStatus {
    std::map<std::string, WeightVersion> versions; ///< By model.
    bool isBusy = false; ///< The endpoint is executing an order.
    std::uint64_t acceptedOrders = 0;

    friend bool operator==(const EndpointStatus&, const EndpointStatus&) = default;
};

/// Encodes requests for items, reward calls and weight orders, and decodes the responses of endpoints.
template <typename T>
concept ItemProtocol = gateway::EndpointProtocol<T> && requires(http1::Request& outgoing, const gateway::Caller& caller, const batch::ItemSpec& item, const batch::RewardCall& reward, const std::string& text, const EndpointId& id, std::uint64_t number, const http1::Response& head, const http1::StreamEvent& event, const LoadOrder& order)
{
    {
        T::itemRequest(item, text, id, number)
        } -> std::same_as<http1::Request>; ///< From the item, host, endpoint, and number of events received so far.
    {
        T::rewardRequest(reward)
        } -> std::same_as<http1::Request>;
    {
        T::setCaller(outgoing, caller)
        } -> std::same_as<void>; ///< Names the workspace of the job and removes what the submitter named.
    {
        T::scoreOf(head)
        } -> std::same_as<std::string>; ///< Empty if the response carries no score.
    {
        T::versionOf(head)
        } -> std::same_as<std::optional<WeightVersion>>;
    {
        T::versionOf(event)
        } -> std::same_as<std::optional<WeightVersion>>;
    {
        T::eventNumber(event)
        } -> std::same_as<std::optional<std::uint64_t>>;
    {
        T::loadRequest(order)
        } -> std::same_as<http1::Request>;
    {
        T::statusRequest(id)
        } -> std::same_as<http1::Request>;
    {
        T::parseStatus(text)
        } -> std::same_as<std::optional<EndpointStatus>>;
};

}
