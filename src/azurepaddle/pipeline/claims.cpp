#include "azurepaddle/pipeline/claims.hpp"

#include "azurepaddle/config/configuration.hpp"
#include "azurepaddle/core/digest.hpp"

#include <algorithm>

namespace azurepaddle::pipeline {

namespace {

    constexpr Duration claimTimeout = std::chrono::seconds(5);
    constexpr Duration releaseTimeout = std::chrono::milliseconds(300);
    constexpr Duration foregroundTimeout = std::chrono::seconds(2);
    constexpr Duration backgroundTimeout = std::chrono::seconds(60);
    constexpr Duration inProgressRetryAfter = std::chrono::seconds(1);

    control::ClaimKey claimKey(const WorkItem& item)
    {
        return { item.tenant, item.idempotencyKey };
    }

    std::string requestDigest(const WorkItem& item)
    {
        return sha256Hex(item.service.value() + "\n" + item.path + "\n" + (item.isEngine ? item.generation.fields : item.body));
    }

    PipelineResult<std::optional<RecordedResponse>> responseOfCompletedClaim(const control::ClaimResult& result)
    {
        if (result.outcome == control::ClaimOutcome::Unknown)
            return fail(PipelineErrorCode::EndpointFailed, Outcome::Unknown, "the request with this idempotency key was sent and its answer was lost");
        if (result.hasBody)
            return std::optional(RecordedResponse { static_cast<int>(result.httpStatus), result.contentType, result.body });
        if (result.outcome == control::ClaimOutcome::Failed)
            return fail(PipelineErrorCode::EndpointFailed, Outcome::Failed, "the request with this idempotency key ran and failed");
        return fail(PipelineErrorCode::Conflict, Outcome::Failed, "the request with this idempotency key ran to its end; its answer was too large to be kept");
    }

}

PipelineResult<std::optional<RecordedResponse>> IdempotencyClaims::claim(const WorkItem& item) const
{
    const auto retention = std::chrono::duration_cast<std::chrono::milliseconds>(item.configuration->defaults().claimRetention);
    const control::Claim claim { claimKey(item), item.id, requestDigest(item), m_control.self, item.keyFirstSeenMs, retention.count() };
    const auto reply = submitFor<control::ClaimReply>(m_control, claim, std::min(item.deadline, SystemClock().now() + claimTimeout));
    if (!reply) {
        // The claim may have been granted despite the error. This request is not sent, so the key can be released.
        release(item);
        return refuse(reply.error().code(), reply.error().message(), inProgressRetryAfter);
    }
    using control::ClaimStatus;
    switch (reply->status) {
    case ClaimStatus::Granted:
        return std::optional<RecordedResponse>();
    case ClaimStatus::Done:
        return responseOfCompletedClaim(reply->result);
    case ClaimStatus::InProgress:
        return fail(PipelineErrorCode::InProgress, Outcome::Unknown, "a request with this idempotency key is running", inProgressRetryAfter);
    case ClaimStatus::Unknown:
        return fail(PipelineErrorCode::EndpointFailed, Outcome::Unknown, "the instance that ran the request with this idempotency key died; the request may have run");
    case ClaimStatus::BodyDiffers:
        return refuse(PipelineErrorCode::Conflict, "the idempotency key was used with another body");
    case ClaimStatus::KeyTooOld:
        return refuse(PipelineErrorCode::KeyExpired, "the idempotency key is older than the retention window; whether it was used is no longer known");
    case ClaimStatus::KeyTimeAhead:
        return refuse(PipelineErrorCode::BadRequest, "X-Azurepaddle-Key-First-Seen lies in the future");
    case ClaimStatus::Full:
        return refuse(PipelineErrorCode::Overloaded, "the limit of stored idempotency keys is reached", inProgressRetryAfter);
    default:
        return refuse(PipelineErrorCode::ControlUnavailable, "this instance cannot claim idempotency keys", inProgressRetryAfter);
    }
}

void IdempotencyClaims::complete(const WorkItem& item, control::ClaimResult result) const
{
    result.hasBody = result.body.size() <= control::Claims::maxResultBody;
    if (!result.hasBody)
        result.body.clear();
    const control::CompleteClaim command { claimKey(item), item.id, m_control.self, std::move(result) };
    if (!m_control.submit(command, SystemClock().now() + foregroundTimeout))
        deferOrRun(m_control, [control = m_control, command] { static_cast<void>(control.submit(command, SystemClock().now() + backgroundTimeout)); });
}

void IdempotencyClaims::release(const WorkItem& item) const
{
    const control::ReleaseClaim command { claimKey(item), item.id, m_control.self };
    // The release is first awaited for a short time, so that the key is free for a client that retries immediately.
    if (!m_control.submit(command, SystemClock().now() + releaseTimeout))
        deferOrRun(m_control, [control = m_control, command] { static_cast<void>(control.submit(command, SystemClock().now() + backgroundTimeout)); });
}

}
