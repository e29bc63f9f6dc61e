#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/ident.hpp"
#include "azurepaddle/pipeline/event.hpp"

#include <functional>
#include <stop_token>
#include <string>
#include <utility>
#include <vector>

namespace azurepaddle::pipeline {

/// How one sending attempt to an endpoint ended.
enum class AttemptStatus : unsigned char {
    Complete, ///< The whole answer arrived.
    NotSent, ///< No connection could be made, so no byte was sent.
    NotRun, ///< The endpoint attests that the request did not run.
    Rejected, ///< The endpoint answered with an error of the request.
    Failed, ///< The endpoint answered with an error of its own.
    Broken, ///< The connection ended before the answer was whole.
    Silent, ///< Nothing arrived within the progress deadline.
    Cancelled, ///< The consumer stopped it.
};

/// The result of one sending attempt.
struct AttemptResult {
    AttemptStatus status = AttemptStatus::Failed;
    int httpStatus = 0; ///< 0 if no status line arrived.
    std::string contentType;
    std::string body; ///< Of a whole answer or an error; empty for a stream.
    std::string message; ///< For people.

    friend bool operator==(const AttemptResult&, const AttemptResult&) = default;
};

/// A request on its way to an endpoint.
struct OutgoingRequest {
    std::string method = "POST";
    std::string path;
    std::string contentType = "application/json";
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;

    friend bool operator==(const OutgoingRequest&, const OutgoingRequest&) = default;
};

/// What an engine says of a request id.
enum class RequestState : unsigned char {
    Running,
    Finished,
    Unknown, ///< The engine has no record of it.
    Unreachable, ///< The engine gave no answer.
};

/// Limits of the connections to endpoints.
struct ConnectorOptions {
    Duration connectTimeout = std::chrono::milliseconds(500);
    Duration writeTimeout = std::chrono::seconds(5);
    Duration queryTimeout = std::chrono::seconds(1);
    std::size_t maxAnswerBytes = 16U * 1024U * 1024U;
    std::size_t maxEventBytes = 1024U * 1024U;
};

/// Sends requests to endpoints over HTTP/1.1. Each attempt uses a connection of its own, so that a failed connect proves
/// that nothing was sent and a reused connection never leads to a second sending. Safe from several threads.
class Connector {
public:
    explicit Connector(ConnectorOptions options);

    /// Sends once and reads the whole answer. The progress deadline bounds each wait for bytes.
    [[nodiscard]] AttemptResult call(
        const std::string& address, const OutgoingRequest& request, Duration progressDeadline, const std::stop_token& stop) const;

    /// Sends once and passes on each event. The function returns false to cancel.
    [[nodiscard]] AttemptResult stream(const std::string& address, const OutgoingRequest& request, Duration progressDeadline,
        const std::stop_token& stop, const std::function<bool(EngineEvent&&)>& onEvent) const;

    /// Asks an engine over a new connection whether it knows a request.
    [[nodiscard]] RequestState query(const std::string& address, const RequestId& request) const;

    /// Asks an engine to stop a request. Best effort.
    void cancel(const std::string& address, const RequestId& request) const;

private:
    [[nodiscard]] AttemptResult attempt(const std::string& address, const OutgoingRequest& request, Duration progressDeadline,
        const std::stop_token& stop, const std::function<bool(std::string_view)>& onBytes) const;

    ConnectorOptions m_options;
};

}
