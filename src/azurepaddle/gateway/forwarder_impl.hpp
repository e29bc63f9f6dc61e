#pragma once

#include "azurepaddle/gateway/forwarder.hpp"

namespace azurepaddle::gateway {

namespace internal {

    // A timeout response is sent this long before the deadline, so that it reaches the client before the client's own
    // timeout.
    constexpr Duration answerMargin = std::chrono::milliseconds(15);
    constexpr Duration connectTimeout = std::chrono::milliseconds(300);

    [[nodiscard]] inline std::int64_t milliseconds(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

}

template <typename Protocol>
Forwarder<Protocol>::Forwarder(asio::io_context& io, http1::ClientPool& pool, Balancer& balancer, CrashGuard& guard, SendLimiter& limiter, Random& random, metrics::Registry& metrics, std::size_t maxAnswerBytes, std::size_t maxEndpointBytes)
    : m_io(io)
    , m_pool(pool)
    , m_balancer(balancer)
    , m_guard(guard)
    , m_limiter(limiter)
    , m_random(random)
    , m_metrics(metrics)
    , m_budget(maxAnswerBytes)
    , m_maxEndpointBytes(maxEndpointBytes)
{
    static_assert(EndpointProtocol<Protocol>);
}

template <typename Protocol>
std::shared_ptr<ForwardCall> Forwarder<Protocol>::send(const ForwardRequest& request, const ForwardCallback& onResult)
{
    const auto pending = std::make_shared<PendingRequest>();
    pending->forwarder = this;
    pending->id = Protocol::requestId(*request.request);
    pending->deadline = deadlineOf<Protocol>(request);
    pending->lastEvent = request.lastEvent;
    pending->runs = request.earlier.runs;
    pending->refusals = request.earlier.refusals;
    pending->isCounted = request.earlier.runs > 0; // The instance that sent it before has counted it.
    pending->service = request.table->findService(request.origin ? request.origin->service : chooseService(*request.route, m_random.uniform()));
    pending->task = request;
    pending->onResult = onResult;
    pending->deadline = std::min(pending->deadline, m_latestEnd);
    m_requests.insert(pending.get());
    startDeadlineTimer(pending);
    startHedgeTimer(pending);
    sendNextOrFail(pending);
    return pending;
}

template <typename Protocol>
void Forwarder<Protocol>::startDeadlineTimer(const PendingPointer& pending)
{
    pending->deadlineTimer = std::make_unique<asio::steady_timer>(m_io, std::max<Duration>(pending->deadline - internal::answerMargin - m_clock.now(), Duration::zero()));
    pending->deadlineTimer->async_wait([this, weak = std::weak_ptr(pending)](std::error_code error) {
        const auto expired = weak.lock();
        if (error || !expired || expired->isDone)
            return;
        const RetryState state = makeRetryState(*expired);
        cancelAttempts(expired, RequestOutcome::Failed);
        finish(expired, makeRefusal(state, true, "no answer in time"), "timeout");
    });
}

template <typename Protocol>
void Forwarder<Protocol>::setLatestEnd(TimePoint latestEnd)
{
    m_latestEnd = latestEnd;
    for (PendingRequest* request : m_requests) {
        request->deadline = std::min(request->deadline, latestEnd);
        startDeadlineTimer(request->shared_from_this());
    }
}

template <typename Protocol>
void Forwarder<Protocol>::startHedgeTimer(const PendingPointer& pending)
{
    const auto delay = hedgeDelay(*pending->task.route, m_balancer.medianAnswerTime(pending->service->name));
    if (!delay)
        return;
    pending->hedgeTimer = std::make_unique<asio::steady_timer>(m_io, *delay);
    pending->hedgeTimer->async_wait([this, weak = std::weak_ptr(pending)](std::error_code error) {
        const auto delayed = weak.lock();
        if (error || !delayed || delayed->isDone || delayed->attempts.empty())
            return;
        // A hedge of a suspected request could crash a second endpoint. Permits are not spent on hedges.
        const TimePoint now = m_clock.now();
        if (!maySendAgain(*delayed->task.route, makeRetryState(*delayed)) || isSuspect(*delayed) || delayed->isAwaitingPermit || now >= delayed->deadline)
            return;
        if (const registry::EndpointRecord* endpoint = chooseUnlimited(*delayed, now))
            sendTo(delayed, *endpoint);
    });
}

/// The retry state of a request; attempts in progress count as runs.
template <typename Protocol>
RetryState Forwarder<Protocol>::makeRetryState(const PendingRequest& pending)
{
    return { pending.runs + static_cast<unsigned>(pending.attempts.size()), pending.refusals };
}

/// The fingerprint of the request, computed on first use.
template <typename Protocol>
const registry::RequestFingerprint& Forwarder<Protocol>::fingerprintOf(PendingRequest& pending)
{
    if (pending.fingerprint.empty())
        pending.fingerprint = gateway::fingerprintOf(*pending.task.request, pending.task.workspace);
    return pending.fingerprint;
}

/// Whether the request is suspected of crashing endpoints. Always false for calls on behalf of batch items. The
/// fingerprint is not computed while no request is suspected.
template <typename Protocol>
bool Forwarder<Protocol>::isSuspect(PendingRequest& pending) const
{
    return pending.task.isCallerRequest && m_guard.hasSuspects() && m_guard.isSuspect(fingerprintOf(pending));
}

/// Time for which the request is still refused because it crashes endpoints; nothing if it may be sent.
template <typename Protocol>
std::optional<Duration> Forwarder<Protocol>::remainingRefusal(PendingRequest& pending) const
{
    return isSuspect(pending) ? m_guard.remainingRefusal(fingerprintOf(pending), m_clock.now()) : std::nullopt;
}

/// Whether the request may be sent to one more endpoint at this time.
template <typename Protocol>
bool Forwarder<Protocol>::maySendNow(PendingRequest& pending, TimePoint now) const
{
    if (pending.isStreaming && !pending.isNumbered)
        return false; // Nobody knows where the stream would have to continue.
    return now < pending.deadline && maySendAgain(*pending.task.route, makeRetryState(pending)) && !remainingRefusal(pending);
}

/// Sends the request to one more endpoint, or requests a permit to do so. False if no endpoint is available.
template <typename Protocol>
bool Forwarder<Protocol>::sendToNextEndpoint(const PendingPointer& pending)
{
    const TimePoint now = m_clock.now();
    const registry::EndpointRecord* endpoint = maySendNow(*pending, now) ? chooseWithinLimits(*pending, now) : nullptr;
    if (!endpoint)
        return false;
    if (m_limiter.isLimited(*endpoint))
        sendWithPermit(pending, *endpoint);
    else
        sendTo(pending, *endpoint);
    return true;
}

template <typename Protocol>
void Forwarder<Protocol>::sendTo(const PendingPointer& pending, const registry::EndpointRecord& record)
{
    // The balancer may replace its record while the request is being sent.
    const registry::EndpointRecord endpoint = record;
    const TimePoint now = m_clock.now();
    pending->excluded.insert(endpoint.id);
    const std::uint64_t number = m_nextAttempt++;
    m_attempts[number] = pending;
    Attempt& attempt = pending->attempts[number];
    attempt.endpoint = endpoint;
    attempt.startedAt = now;
    attempt.bodyBytes = pending->task.request->body.size();
    addBytesAt(endpoint.id, attempt.bodyBytes);
    m_balancer.onRequestStarted(endpoint.id);
    const http1::Request original = withoutBody(*pending->task.request);
    const std::shared_ptr<const std::string> body(pending->task.request, &pending->task.request->body);
    const http1::Request head = Protocol::forEndpoint(pending->isStreaming ? Protocol::continueAfter(original, pending->lastEvent) : original, endpoint.id, pending->deadline - now);
    http1::CallOptions options;
    options.deadline = pending->deadline;
    options.connectTimeout = internal::connectTimeout;
    options.maxConnections = pending->service->maxConnections;
    attempt.call = m_pool.send(endpoint.address(), head, body, options, makeCallEvents(pending, number));
}

template <typename Protocol>
http1::CallEvents Forwarder<Protocol>::makeCallEvents(const PendingPointer& pending, std::uint64_t number)
{
    http1::CallEvents events;
    events.onHead = [this, pending, number](const http1::Response& head) { return onHead(pending, number, head); };
    events.onBody = [this, pending, number](const std::string& bytes) { onBody(pending, number, bytes); };
    events.onEnd = [this, pending, number](const http1::CallEnd& end) { onEnd(pending, number, end); };
    return events;
}

template <typename Protocol>
void Forwarder<Protocol>::recordLeaving(const EndpointId& endpoint, std::string_view requestId)
{
    const auto leaving = m_balancer.markLeaving(endpoint);
    if (!leaving)
        return;
    m_log.info("id={} endpoint={} started={} outcome=leaving", requestId, leaving->id, leaving->startedMs);
    if (m_onLeaving)
        m_onLeaving(*leaving);
}

/// Records that an endpoint may have begun to run the request, in this attempt or an earlier one in progress.
template <typename Protocol>
void Forwarder<Protocol>::recordRun(PendingRequest& pending, TimePoint sentAt)
{
    if (!m_onRun || pending.task.workspace.empty() || !pending.task.isCallerRequest || std::exchange(pending.isCounted, true))
        return;
    for (const auto& [number, attempt] : pending.attempts) {
        if (attempt.call && attempt.call->isSent())
            sentAt = std::min(sentAt, attempt.startedAt);
    }
    m_onRun(pending.task.workspace, sentAt);
}

template <typename Protocol>
void Forwarder<Protocol>::recordUnanswered(TimePoint sentBefore)
{
    for (PendingRequest* pending : m_requests) {
        const auto isOld = [sentBefore](const auto& entry) { return entry.second.call && entry.second.call->isSent() && entry.second.startedAt <= sentBefore; };
        const auto old = std::find_if(pending->attempts.begin(), pending->attempts.end(), isOld);
        if (old != pending->attempts.end())
            recordRun(*pending, old->second.startedAt);
    }
}

/// False if the response belongs to another request.
template <typename Protocol>
bool Forwarder<Protocol>::onHead(const PendingPointer& pending, std::uint64_t number, const http1::Response& head)
{
    Attempt& attempt = pending->attempts.at(number);
    const AnswerClass answerClass = Protocol::classify(head, pending->id);
    const bool isFromChosenEndpoint = answerClass != AnswerClass::OtherRequest && answerClass != AnswerClass::WrongEndpoint;
    if (isFromChosenEndpoint && Protocol::isLeaving(head))
        recordLeaving(attempt.endpoint.id, pending->id);
    if (answerClass == AnswerClass::OtherRequest) {
        m_log.warning("id={} endpoint={} outcome=foreign-answer", pending->id, attempt.endpoint.id);
        return false;
    }
    if (isFromChosenEndpoint)
        recordLimit(attempt, answerClass, head);
    attempt.answerClass = answerClass;
    attempt.response = head;
    if (answerClass == AnswerClass::Answer)
        recordRun(*pending, attempt.startedAt);
    if (const auto load = Protocol::loadOf(head))
        m_balancer.onLoadReport(attempt.endpoint.id, *load, m_clock.now());
    return true;
}

template <typename Protocol>
void Forwarder<Protocol>::onBody(const PendingPointer& pending, std::uint64_t number, const std::string& bytes)
{
    Attempt& attempt = pending->attempts.at(number);
    if (isStreamed(*pending, attempt))
        return onStreamBytes(pending, number, bytes);
    attempt.response.body += bytes;
    const auto largest = m_budget.add(number, bytes.size());
    if (!largest)
        return;
    const PendingPointer affected = m_attempts.at(*largest).lock();
    if (!affected)
        return;
    m_metrics.counter("gateway_oversized_answers_total").add();
    failAttempt(affected, *largest, "answers in progress exceed their memory");
}

template <typename Protocol>
void Forwarder<Protocol>::sendNextOrFail(const PendingPointer& pending)
{
    if (pending->isAwaitingPermit || sendToNextEndpoint(pending))
        return;
    if (pending->attempts.empty() && !waitForPermit(pending))
        failRequest(pending, pending->runs == 0 ? "no endpoint takes the request" : "no endpoint answered");
}

template <typename Protocol>
void Forwarder<Protocol>::onEnd(const PendingPointer& pending, std::uint64_t number, const http1::CallEnd& end)
{
    const auto found = pending->attempts.find(number);
    if (found == pending->attempts.end() || pending->isDone)
        return;
    Attempt attempt = std::move(found->second);
    pending->attempts.erase(found);
    m_budget.release(number);
    removeBytesAt(attempt.endpoint.id, attempt.bodyBytes);
    m_attempts.erase(number);
    const bool isComplete = end.kind == http1::CallEndKind::Complete && !(isStreamed(*pending, attempt) && attempt.splitter.isWithinEvent());
    if (isComplete)
        return onAnswer(pending, std::move(attempt));
    const TimePoint now = m_clock.now();
    m_balancer.onRequestEnded(attempt.endpoint.id, RequestOutcome::Failed, now - attempt.startedAt, now);
    const bool isLost = end.kind == http1::CallEndKind::Lost && pending->task.isCallerRequest && !m_balancer.isLeaving(attempt.endpoint);
    m_log.info("id={} endpoint={} request={} outcome=failed sent={} cause=\"{}\" after-ms={}", pending->id, attempt.endpoint.id, isLost ? fingerprintOf(*pending) : pending->fingerprint, end.isSent, end.message, internal::milliseconds(now - attempt.startedAt));
    if (isLost)
        m_guard.recordLostRequest(attempt.endpoint, fingerprintOf(*pending));
    if (end.isSent) {
        ++pending->runs;
        recordRun(*pending, attempt.startedAt);
    }
    pending->failedConnections += end.kind == http1::CallEndKind::ConnectFailed ? 1 : 0;
    sendNextOrFail(pending);
}

template <typename Protocol>
void Forwarder<Protocol>::onAnswer(const PendingPointer& pending, Attempt attempt)
{
    constexpr unsigned internalError = 500;
    const TimePoint now = m_clock.now();
    if (attempt.answerClass != AnswerClass::Answer) {
        const bool isFull = attempt.answerClass == AnswerClass::NotRun;
        m_balancer.onRequestEnded(attempt.endpoint.id, isFull ? RequestOutcome::Refused : RequestOutcome::Failed, now - attempt.startedAt, now);
        m_log.info("id={} endpoint={} outcome=not-run status={}", pending->id, attempt.endpoint.id, attempt.response.status);
        ++pending->refusals;
        return sendNextOrFail(pending);
    }
    m_balancer.onRequestEnded(attempt.endpoint.id, RequestOutcome::Answered, now - attempt.startedAt, now);
    ++pending->runs;
    if (pending->task.isCallerRequest)
        m_guard.recordAnswer(fingerprintOf(*pending));
    pending->internalErrors += attempt.response.status == internalError ? 1 : 0;
    if (attempt.response.status >= internalError && (maySendAgain(*pending->task.route, makeRetryState(*pending)) || !pending->attempts.empty())) {
        pending->endpointFailure = std::move(attempt.response);
        return sendNextOrFail(pending);
    }
    finish(pending, std::move(attempt.response), "answered", attempt.endpoint);
}

template <typename Protocol>
void Forwarder<Protocol>::failRequest(const PendingPointer& pending, std::string_view reason)
{
    if (pending->endpointFailure)
        return finish(pending, std::move(*pending->endpointFailure), "endpoint-failure");
    if (const auto retryAfter = remainingRefusal(*pending)) {
        m_metrics.counter("gateway_crash_refusals_total").add();
        return finish(pending, makeCrashRefusal(makeRetryState(*pending), *retryAfter), crashRefusalReason);
    }
    const TimePoint now = m_clock.now();
    if (const auto permitAt = nextPermit(*pending, now); permitAt && pending->runs == 0)
        return finish(pending, makeLimitRefusal(makeRetryState(*pending), *permitAt - now), limitRefusalReason);
    finish(pending, makeRefusal({ pending->runs, pending->refusals }, false, reason), reason);
}

template <typename Protocol>
void Forwarder<Protocol>::finish(const PendingPointer& pending, http1::Response response, std::string_view outcome, const registry::EndpointRecord& endpoint)
{
    constexpr unsigned ok = 200;
    const Duration elapsed = m_clock.now() - pending->task.receivedAt;
    const StreamState stream = !pending->isStreaming ? StreamState::NotBegun : response.status == ok ? StreamState::Complete
                                                                                                     : StreamState::Cut;
    m_log.info("id={} request={} route={} configuration={} service={} endpoint={} software={} status={} outcome=\"{}\" runs={} refusals={} last-event={} took-ms={}", pending->id, pending->fingerprint, pending->task.route->name, pending->task.table->version(), pending->service->name, endpoint.id, endpoint.software, response.status, outcome, pending->runs, pending->refusals, pending->lastEvent, internal::milliseconds(elapsed));
    m_metrics.counter(response.status < 400 ? "gateway_answered_total" : "gateway_refused_total").add();
    m_metrics.histogram("gateway_request_seconds").record(elapsed);
    cancelAttempts(pending, RequestOutcome::Cancelled);
    if (const auto onResult = std::exchange(pending->onResult, nullptr))
        onResult({ std::move(response), endpoint.id, pending->internalErrors, { endpoint.service, endpoint.software }, stream, isUnreached(*pending) });
}

template <typename Protocol>
std::optional<RetryState> Forwarder<Protocol>::withdraw(ForwardCall& call)
{
    const PendingPointer pending = static_cast<PendingRequest&>(call).shared_from_this();
    const auto sent = std::count_if(pending->attempts.begin(), pending->attempts.end(), [](const auto& attempt) { return attempt.second.call->isSent(); });
    const RetryState state { pending->runs + static_cast<unsigned>(sent), pending->refusals };
    if (pending->isDone || pending->isStreaming || !maySendAgain(*pending->task.route, state))
        return std::nullopt;
    m_log.info("id={} route={} outcome=withdrawn runs={} took-ms={}", pending->id, pending->task.route->name, state.runs, internal::milliseconds(m_clock.now() - pending->task.receivedAt));
    pending->onResult = nullptr;
    cancelAttempts(pending, RequestOutcome::Failed);
    return state;
}

/// Ends a request that its caller cancelled.
template <typename Protocol>
void Forwarder<Protocol>::abandon(const PendingPointer& pending)
{
    if (pending->isDone)
        return;
    m_log.info("id={} route={} outcome=abandoned sendings={} took-ms={}", pending->id, pending->task.route->name, pending->attempts.size(), internal::milliseconds(m_clock.now() - pending->task.receivedAt));
    m_metrics.counter("gateway_abandoned_total").add();
    pending->onResult = nullptr;
    cancelAttempts(pending, RequestOutcome::Cancelled);
}

template <typename Protocol>
void Forwarder<Protocol>::cancelAttempts(const PendingPointer& pending, RequestOutcome outcome)
{
    if (std::exchange(pending->isDone, true))
        return;
    m_requests.erase(pending.get());
    const TimePoint now = m_clock.now();
    for (auto& [number, attempt] : pending->attempts) {
        if (attempt.call->isSent())
            recordRun(*pending, attempt.startedAt);
        attempt.call->cancel();
        m_balancer.onRequestEnded(attempt.endpoint.id, outcome, now - attempt.startedAt, now);
        m_budget.release(number);
        removeBytesAt(attempt.endpoint.id, attempt.bodyBytes);
        m_attempts.erase(number);
    }
    // The callbacks of the calls hold references to the pending request. Clearing the attempts after the
    // callbacks have returned breaks this cycle.
    asio::post(m_io, [pending] { pending->attempts.clear(); });
    pending->deadlineTimer->cancel();
    if (pending->hedgeTimer)
        pending->hedgeTimer->cancel();
    if (pending->permitTimer)
        pending->permitTimer->cancel();
}

}
