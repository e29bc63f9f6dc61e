#pragma once

#include "azurepaddle/execution/protocol.hpp"
#include "azurepaddle/gateway/take_up.hpp"

namespace azurepaddle::platform {

/// Encodes requests to the platform's endpoints and decodes their responses: header fields, bodies of orders and fields
/// of events.
struct EndpointProtocol {
    [[nodiscard]] static std::string requestId(const http1::Request& request);
    [[nodiscard]] static std::optional<Duration> clientTimeout(const http1::Request& request);
    /// The key with which the caller identifies itself; empty if there is none.
    [[nodiscard]] static std::string_view keyOf(const http1::Request& request);
    /// Whether a header field names a key or a workspace.
    [[nodiscard]] static bool namesCaller(std::string_view fieldName);
    /// Removes the key and any workspace that the sender named, and names the workspace of the caller to the endpoint.
    static void setCaller(http1::Request& request, const gateway::Caller& caller);
    [[nodiscard]] static http1::Request forEndpoint(const http1::Request& request, const EndpointId& endpoint, Duration left);
    [[nodiscard]] static gateway::AnswerClass classify(const http1::Response& head, std::string_view requestId);
    [[nodiscard]] static std::optional<gateway::LoadReport> loadOf(const http1::Response& head);
    [[nodiscard]] static bool isLeaving(const http1::Response& head);
    /// Requests per second that the endpoint takes from all instances together; empty if it names no valid limit.
    [[nodiscard]] static std::optional<double> limitOf(const http1::Response& head);
    /// The stream that a caller continues and the last event that it holds. An error message if a field is malformed.
    [[nodiscard]] static tl::expected<gateway::TakeUp, std::string> takeUpOf(const http1::Request& request);
    [[nodiscard]] static http1::Request rewardRequest(const batch::RewardCall& reward);
    [[nodiscard]] static std::string scoreOf(const http1::Response& head);
    [[nodiscard]] static http1::Request itemRequest(const batch::ItemSpec& item, const std::string& host, const EndpointId& endpoint, std::uint64_t eventsHeld);
    [[nodiscard]] static std::optional<WeightVersion> versionOf(const http1::Response& head);
    [[nodiscard]] static std::optional<WeightVersion> versionOf(const http1::StreamEvent& event);
    [[nodiscard]] static std::optional<std::uint64_t> eventNumber(const http1::StreamEvent& event);
    [[nodiscard]] static http1::Request continueAfter(const http1::Request& request, std::uint64_t lastEvent);
    [[nodiscard]] static http1::Request loadRequest(const execution::LoadOrder& order);
    [[nodiscard]] static http1::Request statusRequest(const EndpointId& endpoint);
    [[nodiscard]] static std::optional<execution::EndpointStatus> parseStatus(const std::string& body);
};

}
