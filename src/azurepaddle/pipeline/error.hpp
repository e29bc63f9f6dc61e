#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/error.hpp"

#include <chrono>
#include <string>

namespace azurepaddle::pipeline {

enum class PipelineErrorCode : unsigned char {
    BadRequest, ///< The request is malformed or contradicts itself.
    Unauthenticated, ///< The bearer token is missing or unknown.
    Forbidden, ///< The tenant may not use this run or service.
    NotFound, ///< The service, run or path does not exist.
    TooLarge, ///< The request or answer exceeds a limit.
    Overloaded, ///< A limit of the tenant or of the instance is reached.
    Draining, ///< The instance is shutting down.
    DeadlineExceeded, ///< The deadline has passed or cannot be met.
    Conflict, ///< The idempotency key was used with another body, or a cursor is inconsistent with the run ledger.
    CursorBehind, ///< The trainer's cursor is lower than the confirmed cursor.
    Superseded, ///< A later pull of the run has been received.
    KeyExpired, ///< The idempotency key is older than the retention window.
    InProgress, ///< A request with this idempotency key is running.
    Blocked, ///< The request crashed endpoints and is blocked.
    NoEndpoint, ///< No endpoint of the service can accept the request.
    EndpointFailed, ///< The endpoint failed, or its answer was lost.
    ControlUnavailable, ///< The replicated log could not be reached in time.
};

/// The reason why a request failed, whether it may have run, and the delay before a retry.
class PipelineError {
public:
    PipelineError(PipelineErrorCode code, Outcome outcome, std::string message, Duration retryAfter = Duration::zero()) noexcept
        : m_code(code)
        , m_outcome(outcome)
        , m_message(std::move(message))
        , m_retryAfter(retryAfter)
    {
    }

    [[nodiscard]] PipelineErrorCode code() const noexcept { return m_code; }
    [[nodiscard]] Outcome outcome() const noexcept { return m_outcome; }
    [[nodiscard]] const std::string& message() const noexcept { return m_message; }
    /// Zero if the request should not be retried.
    [[nodiscard]] Duration retryAfter() const noexcept { return m_retryAfter; }

    friend bool operator==(const PipelineError&, const PipelineError&) = default;

private:
    PipelineErrorCode m_code;
    Outcome m_outcome;
    std::string m_message;
    Duration m_retryAfter;
};

template <typename T>
using PipelineResult = tl::expected<T, PipelineError>;

/// Creates the error of a request of which no byte reached an endpoint.
[[nodiscard]] inline tl::unexpected<PipelineError> refuse(
    PipelineErrorCode code, std::string message, Duration retryAfter = Duration::zero())
{
    return tl::unexpected<PipelineError>(PipelineError(code, Outcome::NotRun, std::move(message), retryAfter));
}

/// Creates the error of a request that may have reached an endpoint.
[[nodiscard]] inline tl::unexpected<PipelineError> fail(
    PipelineErrorCode code, Outcome outcome, std::string message, Duration retryAfter = Duration::zero())
{
    return tl::unexpected<PipelineError>(PipelineError(code, outcome, std::move(message), retryAfter));
}

}
