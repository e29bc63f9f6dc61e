#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/ident.hpp"
#include "azurepaddle/pipeline/event.hpp"

#include <asio.hpp>
#include <functional>
#include <memory>
#include <stop_token>
#include <string>
#include <utility>
#include <vector>

namespace azurepaddle::pipeline {

/// How one sending attempt to an endpoint ended.
enum class AttemptStatus : unsigned char {
    Complete, ///< The complete answer arrived.
    NotSent, ///< No connection could be made, so no byte was sent.
    NotRun, ///< The endpoint states in its response that the request did not run.
    Rejected, ///< The endpoint reported an error in the request (4xx other than 429).
    Failed, ///< The endpoint reported an error of its own, or its answer was invalid.
    ConnectionLost, ///< The connection ended before the answer was complete.
    ProgressTimeout, ///< Nothing arrived within the progress deadline.
    Cancelled, ///< The consumer cancelled the attempt.
};

/// The result of one sending attempt.
struct AttemptResult {
    AttemptStatus status = AttemptStatus::Failed;
    int httpStatus = 0; ///< 0 if no status line arrived, or what arrived is no answer.
    std::string contentType;
    std::string body; ///< Body of a complete answer or of an error response; empty for a stream.
    std::string message; ///< Description for log lines and error messages.

    friend bool operator==(const AttemptResult&, const AttemptResult&) = default;
};

/// An HTTP request to an endpoint.
struct OutgoingRequest {
    std::string method = "POST";
    std::string path;
    std::string contentType = "application/json";
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;

    friend bool operator==(const OutgoingRequest&, const OutgoingRequest&) = default;
};

/// State of a request as reported by the engine.
enum class RequestState : unsigned char {
    Running,
    Finished,
    Unknown, ///< The engine has no record of it.
    Unreachable, ///< The engine gave no usable response.
};

/// Limits of connections to endpoints.
struct ConnectorOptions {
    Duration connectTimeout = std::chrono::milliseconds(500);
    Duration writeTimeout = std::chrono::seconds(5);
    Duration queryTimeout = std::chrono::seconds(1);
    std::size_t maxAnswerBytes = 16U * 1024U * 1024U; ///< Of a body or of all events of a stream, in bytes.
    std::size_t maxEventBytes = 1024U * 1024U;
};

/// Sends requests to endpoints over HTTP/1.1. Each attempt opens a new connection: a failed connect then proves that
/// nothing was sent, and no request is resent after a reused connection was closed. Heads, bodies and streams are bounded,
/// because a faulty endpoint may send bytes that are no answer, without end. Thread-safe.
class Connector {
public:
    explicit Connector(ConnectorOptions options);

    /// Sends the request once and reads the complete answer, which must arrive within the deadline.
    [[nodiscard]] AttemptResult call(
        const std::string& address, const OutgoingRequest& request, Duration deadline, const std::stop_token& stop) const;

    /// Sends the request once and calls the function for each event. The function returns false to cancel. The progress
    /// deadline limits each wait for bytes.
    [[nodiscard]] AttemptResult stream(const std::string& address, const OutgoingRequest& request, Duration progressDeadline,
        const std::stop_token& stop, const std::function<bool(EngineEvent&&)>& onEvent) const;

    /// Queries the state of a request from an engine over a new connection.
    [[nodiscard]] RequestState query(const std::string& address, const RequestId& request) const;

    /// Requests cancellation from an engine. A failure is ignored.
    void cancel(const std::string& address, const RequestId& request) const;

private:
    struct WaitLimits {
        Duration progressDeadline {}; ///< Longest wait for bytes.
        TimePoint end; ///< End of the attempt, also while bytes arrive.
    };

    [[nodiscard]] AttemptResult attempt(const std::string& address, const OutgoingRequest& request, const WaitLimits& waits,
        const std::stop_token& stop, const std::function<bool(std::string_view)>& onBytes) const;

    ConnectorOptions m_options;
    std::unique_ptr<asio::io_context> m_io; ///< Creates sockets; nothing runs on it.
};

}
