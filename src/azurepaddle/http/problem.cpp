#include "azurepaddle/http/problem.hpp"

#include <nlohmann/json.hpp>
#include <string_view>

namespace azurepaddle::http {

namespace {

    using pipeline::PipelineErrorCode;

    struct Description {
        int status;
        std::string_view type;
        std::string_view title;
    };

    Description describe(PipelineErrorCode code) noexcept
    {
        switch (code) {
        case PipelineErrorCode::BadRequest:
            return { 400, "bad-request", "The request is malformed" };
        case PipelineErrorCode::Unauthenticated:
            return { 401, "unauthenticated", "The bearer token is missing or unknown" };
        case PipelineErrorCode::Forbidden:
            return { 403, "forbidden", "The token does not allow this" };
        case PipelineErrorCode::NotFound:
            return { 404, "not-found", "The resource does not exist" };
        case PipelineErrorCode::TooLarge:
            return { 413, "too-large", "A size limit is exceeded" };
        case PipelineErrorCode::Overloaded:
            return { 429, "overloaded", "A limit is reached" };
        case PipelineErrorCode::Draining:
            return { 503, "draining", "The instance is shutting down" };
        case PipelineErrorCode::DeadlineExceeded:
            return { 504, "deadline-exceeded", "The deadline cannot be met" };
        case PipelineErrorCode::Conflict:
            return { 409, "conflict", "The request contradicts an earlier one" };
        case PipelineErrorCode::CursorBehind:
            return { 409, "cursor-behind", "The cursor lies below the confirmed one" };
        case PipelineErrorCode::Superseded:
            return { 409, "superseded", "A later pull of the run is known" };
        case PipelineErrorCode::KeyExpired:
            return { 410, "key-expired", "The idempotency key is older than the retention window" };
        case PipelineErrorCode::InProgress:
            return { 409, "in-progress", "A request with this idempotency key is running" };
        case PipelineErrorCode::Blocked:
            return { 422, "blocked", "The request crashed endpoints and is blocked" };
        case PipelineErrorCode::NoEndpoint:
            return { 503, "no-endpoint", "No endpoint can take the request" };
        case PipelineErrorCode::EndpointFailed:
            return { 502, "endpoint-failed", "The endpoint failed" };
        case PipelineErrorCode::ControlUnavailable:
            return { 503, "control-unavailable", "The replicated log cannot be reached" };
        }
        return { 500, "internal", "Internal error" };
    }

}

int httpStatus(PipelineErrorCode code) noexcept
{
    return describe(code).status;
}

std::string problemBody(const pipeline::PipelineError& error)
{
    const Description description = describe(error.code());
    const nlohmann::json body = {
        { "type", "urn:azurepaddle:problem:" + std::string(description.type) },
        { "title", description.title },
        { "status", description.status },
        { "detail", error.message() },
        { "outcome", outcomeName(error.outcome()) },
        { "retry_after_ms", std::chrono::ceil<std::chrono::milliseconds>(error.retryAfter()).count() },
    };
    // Names and keys in the detail are sent by callers and may be invalid UTF-8.
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}
