#include "azurepaddle/pipeline/sender.hpp"

#include <algorithm>
#include <thread>

namespace azurepaddle::pipeline {

namespace {

    constexpr unsigned maxAttempts = 8;
    constexpr unsigned maxResumes = 4;
    constexpr Duration minProgressDeadline = std::chrono::milliseconds(500);
    constexpr Duration trialPollInterval = std::chrono::milliseconds(100);
    constexpr Duration retryAfterFailure = std::chrono::seconds(1);

    OutgoingRequest outgoingGeneration(const WorkItem& item, const RequestId& id)
    {
        std::string body = fmt::format(R"({{"request_id":"{}","stream":true,"priority":{},"index":{})", id, item.priority, item.sampleIndex);
        if (item.minVersion)
            body += fmt::format(R"(,"min_weight_version":{})", *item.minVersion);
        const std::string& fields = item.generation.fields;
        body += fields.size() > 2 ? "," + fields.substr(1) : "}";
        return { "POST", item.path, "application/json", std::move(body), { { "X-Azurepaddle-Request-Id", id.value() } } };
    }

    OutgoingRequest outgoingCall(const WorkItem& item)
    {
        OutgoingRequest request { "POST", item.path, item.contentType, item.body, { { "X-Azurepaddle-Request-Id", item.id.value() } } };
        if (!item.idempotencyKey.empty())
            request.headers.emplace_back("Idempotency-Key", item.idempotencyKey);
        return request;
    }

    PipelineError toPipelineError(const WorkItem& item, const AttemptResult& result, TimePoint now)
    {
        const bool isLate = now >= item.deadline;
        const auto code = isLate ? PipelineErrorCode::DeadlineExceeded : PipelineErrorCode::EndpointFailed;
        switch (result.status) {
        case AttemptStatus::NotSent:
        case AttemptStatus::NotRun:
            return { isLate ? code : PipelineErrorCode::NoEndpoint, Outcome::NotRun, result.message, retryAfterFailure };
        case AttemptStatus::Rejected:
        case AttemptStatus::Failed:
            if (result.httpStatus == 0)
                return { code, Outcome::Unknown, "the endpoint sent no valid answer: " + result.message, item.isIdempotent ? retryAfterFailure : Duration::zero() };
            return { code, Outcome::Failed, fmt::format("the endpoint answered with status {}: {}", result.httpStatus, result.body + result.message), {} };
        case AttemptStatus::Cancelled:
            return { PipelineErrorCode::EndpointFailed, Outcome::Unknown, "the caller closed the connection", {} };
        default:
            return { code, Outcome::Unknown, "the connection to the endpoint was lost: " + result.message, item.isIdempotent ? retryAfterFailure : Duration::zero() };
        }
    }

}

/// Progress of an engine request over all its attempts.
struct Sender::Progress {
    const OnChunk& onChunk;
    const metrics::Labels labels;
    const TimePoint arrived;
    std::string deliveredText; ///< Text passed on to the client, over all attempts.
    Answer currentAnswer; ///< Answer of the attempt in progress.
    bool hasTextMismatch = false; ///< The answer of a retry does not begin with the delivered text.
    bool hasForeignEvent = false; ///< An event contained the id of another request.
    bool isCancelledByConsumer = false; ///< The consumer of the chunks cancelled the request.
    TimePoint sentAt {};
    TimePoint deadline {};
};

bool Sender::onEvent(const Grant& grant, const RequestId& id, EngineEvent&& event, Progress& progress) const
{
    if (event.isLast)
        return true;
    if (event.request != id) {
        progress.hasForeignEvent = true;
        return false;
    }
    if (event.tokens > 0) {
        const TimePoint now = m_dependencies.clock.now();
        if (progress.currentAnswer.tokens == 0)
            m_dependencies.limiter.onFirstToken(grant.endpoint, now - progress.sentAt);
        if (progress.currentAnswer.tokens == 0 && progress.deliveredText.empty())
            m_dependencies.metrics.histogram("azurepaddle_first_token_seconds", progress.labels).record(now - progress.arrived);
        m_dependencies.router.onToken(grant.attempt, event.tokens);
    }
    const std::size_t previousSize = progress.currentAnswer.text.size();
    progress.currentAnswer.add(event);
    const std::string& text = progress.currentAnswer.text;
    const std::size_t deliveredSize = progress.deliveredText.size();
    const std::size_t overlap = std::min(text.size(), deliveredSize);
    if (previousSize < deliveredSize && text.compare(previousSize, overlap - previousSize, progress.deliveredText, previousSize, overlap - previousSize) != 0) {
        progress.hasTextMismatch = true;
        return false;
    }
    if (m_dependencies.clock.now() >= progress.deadline)
        return false;
    if (text.size() <= deliveredSize)
        return true;
    event.text = text.substr(std::max(previousSize, deliveredSize));
    progress.deliveredText += event.text;
    progress.isCancelledByConsumer = !progress.onChunk(event);
    return !progress.isCancelledByConsumer;
}

AttemptResult Sender::streamAttempt(const WorkItem& item, const Grant& grant, unsigned attemptNumber, Progress& progress, const std::stop_token& stop) const
{
    const RequestId id(fmt::format("{}-{}", item.id, attemptNumber));
    progress.currentAnswer = {};
    progress.sentAt = m_dependencies.clock.now();
    const auto remaining = item.deadline - progress.sentAt;
    const auto progressDeadline = std::min<Duration>(remaining, std::max(minProgressDeadline, m_dependencies.router.progressDeadline(grant.attempt)));
    auto result = m_dependencies.connector.stream(grant.address, outgoingGeneration(item, id), progressDeadline, stop,
        [&](EngineEvent&& event) { return onEvent(grant, id, std::move(event), progress); });
    const bool isLost = result.status == AttemptStatus::ProgressTimeout || result.status == AttemptStatus::ConnectionLost;
    if (isLost)
        result = resumeStream(item, grant, id, std::move(result), progress, stop);
    if (result.status == AttemptStatus::Cancelled && !progress.isCancelledByConsumer && (progress.hasForeignEvent || progress.hasTextMismatch)) {
        result.status = AttemptStatus::Failed;
        result.message = progress.hasForeignEvent ? "the endpoint sent an event of another request" : "the repeated answer does not begin with what was passed on";
    }
    if (result.status != AttemptStatus::Complete && result.status != AttemptStatus::NotSent && result.status != AttemptStatus::NotRun)
        m_dependencies.connector.cancel(grant.address, id);
    return result;
}

AttemptResult Sender::resumeStream(const WorkItem& item, const Grant& grant, const RequestId& id, AttemptResult lostResult, Progress& progress, const std::stop_token& stop) const
{
    AttemptResult result = std::move(lostResult);
    for (unsigned i = 0; i < maxResumes && m_dependencies.clock.now() < item.deadline; ++i) {
        const RequestState state = m_dependencies.connector.query(grant.address, id);
        if (state == RequestState::Unknown || state == RequestState::Unreachable)
            return result;
        const auto progressDeadline = std::min<Duration>(item.deadline - m_dependencies.clock.now(), std::max(minProgressDeadline, m_dependencies.router.progressDeadline(grant.attempt)));
        const OutgoingRequest request { "POST", fmt::format("/requests/{}/resume?from={}", id, progress.currentAnswer.tokens), "application/json", "{}", {} };
        m_dependencies.metrics.counter("azurepaddle_streams_resumed_total").add();
        result = m_dependencies.connector.stream(grant.address, request, progressDeadline, stop,
            [&](EngineEvent&& event) { return onEvent(grant, id, std::move(event), progress); });
        if (result.status != AttemptStatus::ProgressTimeout && result.status != AttemptStatus::ConnectionLost)
            return result;
    }
    return result;
}

AttemptResult Sender::callAttempt(const WorkItem& item, const Grant& grant, const std::stop_token& stop) const
{
    const TimePoint sentAt = m_dependencies.clock.now();
    auto result = m_dependencies.connector.call(grant.address, outgoingCall(item), item.deadline - sentAt, stop);
    if (result.status == AttemptStatus::Complete)
        m_dependencies.limiter.onFirstToken(grant.endpoint, m_dependencies.clock.now() - sentAt);
    return result;
}

bool Sender::detectCrash(const Grant& grant, const AttemptResult& result) const
{
    if (result.status == AttemptStatus::NotSent) {
        m_dependencies.router.remove(grant.endpoint);
        return false;
    }
    if (result.status != AttemptStatus::ConnectionLost && result.status != AttemptStatus::ProgressTimeout)
        return false;
    const OutgoingRequest probe { "GET", "/state", {}, {}, {} };
    if (m_dependencies.connector.call(grant.address, probe, std::chrono::seconds(1), {}).status != AttemptStatus::NotSent)
        return false;
    m_dependencies.router.remove(grant.endpoint);
    m_dependencies.metrics.counter("azurepaddle_endpoints_died_total").add();
    return true;
}

bool Sender::mayRetry(const WorkItem& item, const AttemptResult& result, unsigned attemptNumber) const
{
    if (attemptNumber >= maxAttempts || m_dependencies.clock.now() >= item.deadline)
        return false;
    if (result.status == AttemptStatus::NotSent || result.status == AttemptStatus::NotRun)
        return true;
    const bool isLost = result.status == AttemptStatus::ConnectionLost || result.status == AttemptStatus::ProgressTimeout || result.status == AttemptStatus::Failed;
    return isLost && item.isIdempotent && m_dependencies.retryBudget.tryAcquire(item.tenant);
}

template <typename SendAttempt>
PipelineResult<AttemptResult> Sender::runWithRetries(const WorkItem& item, const std::shared_ptr<Dispatcher::Entry>& entry, const SendAttempt& sendAttempt) const
{
    const routing::Fingerprint fingerprint = SuspectRequestGuard::fingerprintOf(item);
    m_dependencies.retryBudget.onRequest(item.tenant);
    PipelineError lastError(PipelineErrorCode::EndpointFailed, Outcome::NotRun, "not sent");
    for (unsigned attemptNumber = 1;; ++attemptNumber) {
        auto grant = m_dependencies.dispatcher.wait(entry, item.deadline);
        if (!grant)
            return tl::unexpected(attemptNumber == 1 ? grant.error() : lastError);
        const auto trial = m_dependencies.suspectGuard.beginTrial(item, fingerprint, grant->endpoint);
        if (!trial || !*trial) {
            m_dependencies.dispatcher.endAttempt(item.service, *grant, false);
            if (!trial)
                return tl::unexpected(attemptNumber == 1 ? trial.error() : PipelineError(trial.error().code(), lastError.outcome(), trial.error().message(), trial.error().retryAfter()));
            std::this_thread::sleep_for(trialPollInterval);
            m_dependencies.dispatcher.requeue(entry);
            --attemptNumber;
            continue;
        }
        if (attemptNumber == 1)
            m_dependencies.metrics.histogram("azurepaddle_queue_seconds", { item.tenant, entry->ticket.size.workClass }).record(m_dependencies.clock.now() - item.arrived);
        AttemptResult result = sendAttempt(*grant, attemptNumber);
        const bool isComplete = result.status == AttemptStatus::Complete;
        m_dependencies.dispatcher.endAttempt(item.service, *grant, isComplete);
        if (detectCrash(*grant, result)) {
            const auto reportResult = m_dependencies.suspectGuard.reportCrash(item, fingerprint, **trial, { grant->endpoint, grant->incarnation });
            if (!reportResult)
                return tl::unexpected(reportResult.error());
        } else {
            const bool hasNotRun = result.status == AttemptStatus::NotSent || result.status == AttemptStatus::NotRun;
            m_dependencies.suspectGuard.finishTrial(fingerprint, **trial, hasNotRun ? control::TrialResult::NotRun : control::TrialResult::Clean, grant->endpoint);
        }
        if (isComplete)
            return result;
        // If an earlier attempt may have run, the outcome must not become NotRun because a later attempt was not sent.
        const Outcome previousOutcome = lastError.outcome();
        lastError = toPipelineError(item, result, m_dependencies.clock.now());
        if (previousOutcome != Outcome::NotRun && lastError.outcome() == Outcome::NotRun)
            lastError = PipelineError(lastError.code(), previousOutcome, lastError.message(), lastError.retryAfter());
        if (!mayRetry(item, result, attemptNumber))
            return tl::unexpected(lastError);
        m_dependencies.metrics.counter("azurepaddle_retries_total", { item.tenant, {} }).add();
        entry->profile.avoidedEndpoints.push_back(grant->endpoint);
        m_dependencies.dispatcher.requeue(entry);
    }
}

PipelineResult<Answer> Sender::generate(const WorkItem& item, const std::shared_ptr<Dispatcher::Entry>& entry, const OnChunk& onChunk, const std::stop_token& stop, const OnGranted& onGranted) const
{
    Progress progress { onChunk, { item.tenant, entry->ticket.size.workClass }, item.arrived, {}, {}, false, false, false, {}, item.deadline };
    const auto result = runWithRetries(item, entry, [&](const Grant& grant, unsigned attemptNumber) {
        if (onGranted)
            onGranted(grant);
        return streamAttempt(item, grant, attemptNumber, progress, stop);
    });
    if (!result)
        return tl::unexpected(result.error());
    return std::move(progress.currentAnswer);
}

PipelineResult<AttemptResult> Sender::call(const WorkItem& item, const std::shared_ptr<Dispatcher::Entry>& entry, const std::stop_token& stop) const
{
    return runWithRetries(item, entry, [&](const Grant& grant, unsigned) { return callAttempt(item, grant, stop); });
}

}
