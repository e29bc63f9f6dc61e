#include "azurepaddle/pipeline/sender.hpp"

#include <algorithm>
#include <thread>

namespace azurepaddle::pipeline {

namespace {

    constexpr unsigned maxAttempts = 8;
    constexpr unsigned maxResumes = 4;
    constexpr Duration shortestProgressDeadline = std::chrono::milliseconds(500);
    constexpr Duration trialPoll = std::chrono::milliseconds(100);
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

    PipelineError errorOf(const WorkItem& item, const AttemptResult& result, TimePoint now)
    {
        const bool late = now >= item.deadline;
        const auto code = late ? PipelineErrorCode::DeadlineExceeded : PipelineErrorCode::EndpointFailed;
        switch (result.status) {
        case AttemptStatus::NotSent:
        case AttemptStatus::NotRun:
            return { late ? code : PipelineErrorCode::NoEndpoint, Outcome::NotRun, result.message, retryAfterFailure };
        case AttemptStatus::Rejected:
        case AttemptStatus::Failed:
            return { code, Outcome::Failed, fmt::format("the endpoint answered with status {}: {}", result.httpStatus, result.body + result.message), {} };
        case AttemptStatus::Cancelled:
            return { PipelineErrorCode::EndpointFailed, Outcome::Unknown, "the caller closed the connection", {} };
        default:
            return { code, Outcome::Unknown, "the connection to the endpoint was lost: " + result.message, item.isIdempotent ? retryAfterFailure : Duration::zero() };
        }
    }

}

/// What an engine request has brought so far.
struct Sender::Progress {
    const OnPiece& onPiece;
    const metrics::Labels labels;
    const TimePoint arrived;
    std::string delivered; ///< Text passed on to the caller, over all attempts.
    Answer current; ///< Of the attempt in progress.
    bool contradicts = false; ///< A repetition does not begin with what was delivered.
    bool isForeign = false; ///< An event named another request.
    bool isAbandoned = false; ///< The caller wants no more.
    TimePoint sent {};
    TimePoint deadline {};
};

bool Sender::onEvent(const Grant& grant, const RequestId& id, EngineEvent&& event, Progress& progress) const
{
    if (event.last)
        return true;
    if (event.request != id) {
        progress.isForeign = true;
        return false;
    }
    if (event.tokens > 0) {
        const TimePoint now = m_parts.clock.now();
        if (progress.current.tokens == 0)
            m_parts.limiter.onFirstToken(grant.endpoint, now - progress.sent);
        if (progress.current.tokens == 0 && progress.delivered.empty())
            m_parts.metrics.histogram("azurepaddle_first_token_seconds", progress.labels).record(now - progress.arrived);
        m_parts.router.onToken(grant.attempt, event.tokens);
    }
    const std::size_t before = progress.current.text.size();
    progress.current.add(event);
    const std::string& text = progress.current.text;
    const std::size_t known = progress.delivered.size();
    const std::size_t overlap = std::min(text.size(), known);
    if (before < known && text.compare(before, overlap - before, progress.delivered, before, overlap - before) != 0) {
        progress.contradicts = true;
        return false;
    }
    if (m_parts.clock.now() >= progress.deadline)
        return false;
    if (text.size() <= known)
        return true;
    event.text = text.substr(std::max(before, known));
    progress.delivered += event.text;
    progress.isAbandoned = !progress.onPiece(event);
    return !progress.isAbandoned;
}

AttemptResult Sender::streamOnce(const WorkItem& item, const Grant& grant, unsigned number, Progress& progress, const std::stop_token& stop) const
{
    const RequestId id(fmt::format("{}-{}", item.id, number));
    progress.current = {};
    progress.sent = m_parts.clock.now();
    const auto remaining = item.deadline - progress.sent;
    const auto progressDeadline = std::min<Duration>(remaining, std::max(shortestProgressDeadline, m_parts.router.progressDeadline(grant.attempt)));
    auto result = m_parts.connector.stream(grant.address, outgoingGeneration(item, id), progressDeadline, stop,
        [&](EngineEvent&& event) { return onEvent(grant, id, std::move(event), progress); });
    const bool isLost = result.status == AttemptStatus::Silent || result.status == AttemptStatus::Broken;
    if (isLost)
        result = resume(item, grant, id, std::move(result), progress, stop);
    if (result.status == AttemptStatus::Cancelled && !progress.isAbandoned && (progress.isForeign || progress.contradicts)) {
        result.status = AttemptStatus::Failed;
        result.message = progress.isForeign ? "the endpoint sent an event of another request" : "the repeated answer does not begin with what was passed on";
    }
    if (result.status != AttemptStatus::Complete && result.status != AttemptStatus::NotSent && result.status != AttemptStatus::NotRun)
        m_parts.connector.cancel(grant.address, id);
    return result;
}

AttemptResult Sender::resume(const WorkItem& item, const Grant& grant, const RequestId& id, AttemptResult first, Progress& progress, const std::stop_token& stop) const
{
    AttemptResult result = std::move(first);
    for (unsigned i = 0; i < maxResumes && m_parts.clock.now() < item.deadline; ++i) {
        const RequestState state = m_parts.connector.query(grant.address, id);
        if (state == RequestState::Unknown || state == RequestState::Unreachable)
            return result;
        const auto progressDeadline = std::min<Duration>(item.deadline - m_parts.clock.now(), std::max(shortestProgressDeadline, m_parts.router.progressDeadline(grant.attempt)));
        const OutgoingRequest request { "POST", fmt::format("/requests/{}/resume?from={}", id, progress.current.tokens), "application/json", "{}", {} };
        m_parts.metrics.counter("azurepaddle_streams_resumed_total").add();
        result = m_parts.connector.stream(grant.address, request, progressDeadline, stop,
            [&](EngineEvent&& event) { return onEvent(grant, id, std::move(event), progress); });
        if (result.status != AttemptStatus::Silent && result.status != AttemptStatus::Broken)
            return result;
    }
    return result;
}

AttemptResult Sender::callOnce(const WorkItem& item, const Grant& grant, const std::stop_token& stop) const
{
    const TimePoint sent = m_parts.clock.now();
    auto result = m_parts.connector.call(grant.address, outgoingCall(item), item.deadline - sent, stop);
    if (result.status == AttemptStatus::Complete)
        m_parts.limiter.onFirstToken(grant.endpoint, m_parts.clock.now() - sent);
    return result;
}

bool Sender::hasDied(const Grant& grant, const AttemptResult& result) const
{
    if (result.status == AttemptStatus::NotSent) {
        m_parts.router.remove(grant.endpoint);
        return false;
    }
    if (result.status != AttemptStatus::Broken && result.status != AttemptStatus::Silent)
        return false;
    const OutgoingRequest probe { "GET", "/state", {}, {}, {} };
    if (m_parts.connector.call(grant.address, probe, std::chrono::seconds(1), {}).status != AttemptStatus::NotSent)
        return false;
    m_parts.router.remove(grant.endpoint);
    m_parts.metrics.counter("azurepaddle_endpoints_died_total").add();
    return true;
}

bool Sender::mayRepeat(const WorkItem& item, const AttemptResult& result, unsigned number) const
{
    if (number >= maxAttempts || m_parts.clock.now() >= item.deadline)
        return false;
    if (result.status == AttemptStatus::NotSent || result.status == AttemptStatus::NotRun)
        return true;
    const bool isLost = result.status == AttemptStatus::Broken || result.status == AttemptStatus::Silent || result.status == AttemptStatus::Failed;
    return isLost && item.isIdempotent && m_parts.retries.tryAcquire(item.tenant);
}

template <typename Try>
PipelineResult<AttemptResult> Sender::repeat(const WorkItem& item, const std::shared_ptr<Dispatcher::Entry>& entry, const Try& tryOnce) const
{
    const routing::Fingerprint fingerprint = SuspectRequestGuard::fingerprintOf(item);
    m_parts.retries.onRequest(item.tenant);
    PipelineError last(PipelineErrorCode::EndpointFailed, Outcome::NotRun, "not sent");
    for (unsigned number = 1;; ++number) {
        auto grant = m_parts.dispatcher.wait(entry, item.deadline);
        if (!grant)
            return tl::unexpected(number == 1 ? grant.error() : last);
        const auto trial = m_parts.suspicion.begin(item, fingerprint, grant->endpoint);
        if (!trial || !*trial) {
            m_parts.dispatcher.endAttempt(item.service, *grant, false);
            if (!trial)
                return tl::unexpected(number == 1 ? trial.error() : PipelineError(trial.error().code(), last.outcome(), trial.error().message(), trial.error().retryAfter()));
            std::this_thread::sleep_for(trialPoll);
            m_parts.dispatcher.requeue(entry);
            --number;
            continue;
        }
        if (number == 1)
            m_parts.metrics.histogram("azurepaddle_queue_seconds", { item.tenant, entry->ticket.size.workClass }).record(m_parts.clock.now() - item.arrived);
        AttemptResult result = tryOnce(*grant, number);
        const bool finished = result.status == AttemptStatus::Complete;
        m_parts.dispatcher.endAttempt(item.service, *grant, finished);
        if (hasDied(*grant, result)) {
            const auto reported = m_parts.suspicion.report(item, fingerprint, **trial, { grant->endpoint, grant->incarnation });
            if (!reported)
                return tl::unexpected(reported.error());
        } else {
            const bool neverRan = result.status == AttemptStatus::NotSent || result.status == AttemptStatus::NotRun;
            m_parts.suspicion.finish(fingerprint, **trial, neverRan ? control::TrialResult::NotRun : control::TrialResult::Clean, grant->endpoint);
        }
        if (finished)
            return result;
        // What an earlier attempt may have done outweighs that a later one was not sent.
        const Outcome worst = last.outcome();
        last = errorOf(item, result, m_parts.clock.now());
        if (worst != Outcome::NotRun && last.outcome() == Outcome::NotRun)
            last = PipelineError(last.code(), worst, last.message(), last.retryAfter());
        if (!mayRepeat(item, result, number))
            return tl::unexpected(last);
        m_parts.metrics.counter("azurepaddle_retries_total", { item.tenant, {} }).add();
        entry->profile.avoidedEndpoints.push_back(grant->endpoint);
        m_parts.dispatcher.requeue(entry);
    }
}

PipelineResult<Answer> Sender::generate(const WorkItem& item, const std::shared_ptr<Dispatcher::Entry>& entry, const OnPiece& onPiece, const std::stop_token& stop, const OnGranted& onGranted) const
{
    Progress progress { onPiece, { item.tenant, entry->ticket.size.workClass }, item.arrived, {}, {}, false, false, false, {}, item.deadline };
    const auto result = repeat(item, entry, [&](const Grant& grant, unsigned number) {
        if (onGranted)
            onGranted(grant);
        return streamOnce(item, grant, number, progress, stop);
    });
    if (!result)
        return tl::unexpected(result.error());
    return std::move(progress.current);
}

PipelineResult<AttemptResult> Sender::call(const WorkItem& item, const std::shared_ptr<Dispatcher::Entry>& entry, const std::stop_token& stop) const
{
    return repeat(item, entry, [&](const Grant& grant, unsigned) { return callOnce(item, grant, stop); });
}

}
