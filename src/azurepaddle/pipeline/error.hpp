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
    DeadlineExceeded, ///< The deadline passed, or cannot be met.
    Conflict, ///< The idempotency key was used with another body, or a cursor contradicts the ledger.
    CursorBehind, ///< The trainer's cursor lies below the confirmed one.
    Superseded, ///< A later pull of the run is known.
    KeyExpired, ///< The idempotency key is older than the retention window.
    InProgress, ///< A request with this idempotency key is running.
    Blocked, ///< The request crashed endpoints and is blocked.
    NoEndpoint, ///< No endpoint of the service can take work.
    EndpointFailed, ///< The endpoint failed, or its answer was lost.
    ControlUnavailable, ///< The replicated log could not be reached in time.
};

/// Why a request got no regular answer, what is known about whether it ran, and when to try again.
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
    /// Zero if a retry makes no sense.
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

/// An error for a request of which no byte reached an endpoint.
[[nodiscard]] inline tl::unexpected<PipelineError> refuse(
    PipelineErrorCode code, std::string message, Duration retryAfter = Duration::zero())
{
    return tl::unexpected<PipelineError>(PipelineError(code, Outcome::NotRun, std::move(message), retryAfter));
}

/// An error for a request that may have reached an endpoint.
[[nodiscard]] inline tl::unexpected<PipelineError> fail(
    PipelineErrorCode code, Outcome outcome, std::string message, Duration retryAfter = Duration::zero())
{
    return tl::unexpected<PipelineError>(PipelineError(code, outcome, std::move(message), retryAfter));
}

}
