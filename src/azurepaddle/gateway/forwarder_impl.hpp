#pragma once

#include "azurepaddle/gateway/forwarder.hpp"

namespace azurepaddle::gateway {

namespace internal {

    // The answer to a request that is given up must reach its client before the client stops waiting.
    constexpr Duration answerMargin = std::chrono::milliseconds(15);
    constexpr Duration connectTimeout = std::chrono::milliseconds(300);

    [[nodiscard]] inline std::int64_t milliseconds(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

}

template <typename Protocol>
Forwarder<Protocol>::Forwarder(asio::io_context& io, http1::ClientPool& pool, Balancer& balancer, CrashGuard& guard, Random& random, metrics::Registry& metrics, std::size_t maxAnswerBytes)
    : m_io(io)
    , m_pool(pool)
    , m_balancer(balancer)
    , m_guard(guard)
    , m_random(random)
    , m_metrics(metrics)
    , m_budget(maxAnswerBytes)
{
    static_assert(EndpointProtocol<Protocol>);
}

template <typename Protocol>
void Forwarder<Protocol>::forward(const http1::ExchangePointer& exchange, const std::shared_ptr<const RouteTable>& table, const Route& route)
{
    const ForwardRequest task { { exchange, &exchange->request() }, exchange->receivedAt(), table, { table, &route } };
    const auto call = send(task, [exchange](ForwardResult result) {
        result.response.fields.eraseHopByHop();
        exchange->respond(std::move(result.response));
    });
    if (!exchange->isOpen())
        return;
    exchange->setOnClosed([weak = std::weak_ptr(call)] {
        if (const auto left = weak.lock())
            left->cancel();
    });
}

template <typename Protocol>
std::shared_ptr<ForwardCall> Forwarder<Protocol>::send(const ForwardRequest& request, const ForwardCallback& onResult)
{
    const auto forwarding = std::make_shared<Forwarding>();
    forwarding->owner = this;
    forwarding->id = Protocol::requestId(*request.request);
    const Duration clientTimeout = Protocol::clientTimeout(*request.request).value_or(request.route->timeout);
    forwarding->deadline = request.receivedAt + std::min(clientTimeout, request.route->timeout);
    forwarding->service = request.table->findService(chooseService(*request.route, m_random.uniform()));
    forwarding->task = request;
    forwarding->onResult = onResult;
    ++m_inProgress;
    armDeadline(forwarding);
    armHedge(forwarding);
    tryNext(forwarding);
    return forwarding;
}

template <typename Protocol>
void Forwarder<Protocol>::armDeadline(const Pointer& forwarding)
{
    forwarding->deadlineTimer = std::make_unique<asio::steady_timer>(m_io, std::max<Duration>(forwarding->deadline - internal::answerMargin - m_clock.now(), Duration::zero()));
    forwarding->deadlineTimer->async_wait([this, weak = std::weak_ptr(forwarding)](std::error_code error) {
        const auto late = weak.lock();
        if (error || !late || late->isDone)
            return;
        const RetryState state = stateOf(*late);
        stopSendings(late, Experience::Failed);
        finish(late, refusal(state, true, "no answer in time"), "timeout", {});
    });
}

template <typename Protocol>
void Forwarder<Protocol>::armHedge(const Pointer& forwarding)
{
    const auto delay = hedgeDelay(*forwarding->task.route, m_balancer.usualTime(forwarding->service->name));
    if (!delay)
        return;
    forwarding->hedgeTimer = std::make_unique<asio::steady_timer>(m_io, *delay);
    forwarding->hedgeTimer->async_wait([this, weak = std::weak_ptr(forwarding)](std::error_code error) {
        const auto slow = weak.lock();
        if (error || !slow || slow->isDone || slow->sendings.empty())
            return;
        // A second copy could crash a second endpoint.
        if (maySendAgain(*slow->task.route, stateOf(*slow)) && !isSuspect(*slow))
            static_cast<void>(sendNext(slow));
    });
}

/// How the request has fared, where endpoints that work on it count as having run it.
template <typename Protocol>
RetryState Forwarder<Protocol>::stateOf(const Forwarding& forwarding)
{
    return { forwarding.runs + static_cast<unsigned>(forwarding.sendings.size()), forwarding.refusals };
}

/// The fingerprint of the request, made when it is first needed.
template <typename Protocol>
const registry::RequestFingerprint& Forwarder<Protocol>::fingerprintOf(Forwarding& forwarding)
{
    if (forwarding.fingerprint.empty())
        forwarding.fingerprint = gateway::fingerprintOf(*forwarding.task.request);
    return forwarding.fingerprint;
}

/// Whether endpoints crashed under this request of a caller. No fingerprint is made while nothing is suspected.
template <typename Protocol>
bool Forwarder<Protocol>::isSuspect(Forwarding& forwarding) const
{
    return forwarding.task.isOfCaller && m_guard.knowsSuspects() && m_guard.isSuspect(fingerprintOf(forwarding));
}

/// For how long the request is refused because endpoints crash under it; nothing if it may be sent.
template <typename Protocol>
std::optional<Duration> Forwarder<Protocol>::refusedFor(Forwarding& forwarding) const
{
    return isSuspect(forwarding) ? m_guard.refusedFor(fingerprintOf(forwarding), m_clock.now()) : std::nullopt;
}

/// Sends the request to one more endpoint. False if there is none, or if endpoints crash under it.
template <typename Protocol>
bool Forwarder<Protocol>::sendNext(const Pointer& forwarding)
{
    if (refusedFor(*forwarding))
        return false;
    const TimePoint now = m_clock.now();
    const registry::EndpointRecord* endpoint = m_balancer.choose(forwarding->service->name, forwarding->excluded, now, m_random);
    if (!endpoint || now >= forwarding->deadline)
        return false;
    forwarding->excluded.insert(endpoint->id);
    const std::uint64_t number = m_nextSending++;
    m_sendings[number] = forwarding;
    Sending& sending = forwarding->sendings[number];
    sending.endpoint = *endpoint;
    sending.startedAt = now;
    m_balancer.begin(endpoint->id);
    const http1::Request request = Protocol::forEndpoint(*forwarding->task.request, endpoint->id, forwarding->deadline - now);
    http1::CallOptions options;
    options.deadline = forwarding->deadline;
    options.connectTimeout = internal::connectTimeout;
    options.maxConnections = forwarding->service->maxConnections;
    sending.call = m_pool.send(endpoint->address(), request, options, eventsOf(forwarding, number));
    return true;
}

template <typename Protocol>
http1::CallEvents Forwarder<Protocol>::eventsOf(const Pointer& forwarding, std::uint64_t number)
{
    http1::CallEvents events;
    events.onHead = [this, forwarding, number](const http1::Response& head) { return onHead(forwarding, number, head); };
    events.onBody = [this, forwarding, number](const std::string& bytes) { onBody(forwarding, number, bytes); };
    events.onEnd = [this, forwarding, number](const http1::CallEnd& end) { onEnd(forwarding, number, end); };
    return events;
}

/// False if the response belongs to another request.
template <typename Protocol>
bool Forwarder<Protocol>::onHead(const Pointer& forwarding, std::uint64_t number, const http1::Response& head)
{
    Sending& own = forwarding->sendings.at(number);
    const AnswerClass answerClass = Protocol::classify(head, forwarding->id);
    const bool isOwnWord = answerClass != AnswerClass::OtherRequest && answerClass != AnswerClass::WrongEndpoint;
    if (const auto leaving = isOwnWord && Protocol::isLeaving(head) ? m_balancer.noteLeaving(own.endpoint.id) : std::nullopt) {
        m_log.info("id={} endpoint={} started={} outcome=leaving", forwarding->id, leaving->id, leaving->startedMs);
        if (m_onLeaving)
            m_onLeaving(*leaving);
    }
    if (answerClass == AnswerClass::OtherRequest) {
        m_log.warning("id={} endpoint={} outcome=foreign-answer", forwarding->id, own.endpoint.id);
        return false;
    }
    own.answerClass = answerClass;
    own.response = head;
    if (const auto load = Protocol::loadOf(head))
        m_balancer.report(own.endpoint.id, *load, m_clock.now());
    return true;
}

template <typename Protocol>
void Forwarder<Protocol>::onBody(const Pointer& forwarding, std::uint64_t number, const std::string& bytes)
{
    forwarding->sendings.at(number).response.body += bytes;
    const auto tooLarge = m_budget.add(number, bytes.size());
    if (!tooLarge)
        return;
    const Pointer owner = m_sendings.at(*tooLarge).lock();
    if (!owner)
        return;
    owner->sendings.at(*tooLarge).call->cancel();
    m_metrics.counter("gateway_oversized_answers_total").add();
    onEnd(owner, *tooLarge, { http1::CallEndKind::Failed, true, "answers in progress exceed their memory" });
}

template <typename Protocol>
void Forwarder<Protocol>::tryNext(const Pointer& forwarding)
{
    if (maySendAgain(*forwarding->task.route, stateOf(*forwarding)) && sendNext(forwarding))
        return;
    if (forwarding->sendings.empty())
        giveUp(forwarding, forwarding->runs == 0 ? "no endpoint takes the request" : "no endpoint answered");
}

template <typename Protocol>
void Forwarder<Protocol>::onEnd(const Pointer& forwarding, std::uint64_t number, const http1::CallEnd& end)
{
    const auto found = forwarding->sendings.find(number);
    if (found == forwarding->sendings.end() || forwarding->isDone)
        return;
    Sending sending = std::move(found->second);
    forwarding->sendings.erase(found);
    m_budget.release(number);
    m_sendings.erase(number);
    if (end.kind == http1::CallEndKind::Complete)
        return onAnswer(forwarding, std::move(sending));
    const TimePoint now = m_clock.now();
    m_balancer.end(sending.endpoint.id, Experience::Failed, now - sending.startedAt, now);
    const bool isLost = end.kind == http1::CallEndKind::Lost && forwarding->task.isOfCaller && !m_balancer.isLeaving(sending.endpoint);
    m_log.info("id={} endpoint={} request={} outcome=failed sent={} cause=\"{}\" after-ms={}", forwarding->id, sending.endpoint.id, isLost ? fingerprintOf(*forwarding) : forwarding->fingerprint, end.isSent, end.message, internal::milliseconds(now - sending.startedAt));
    if (isLost)
        m_guard.noteLost(sending.endpoint, fingerprintOf(*forwarding));
    if (end.isSent)
        ++forwarding->runs;
    tryNext(forwarding);
}

template <typename Protocol>
void Forwarder<Protocol>::onAnswer(const Pointer& forwarding, Sending sending)
{
    constexpr unsigned internalError = 500;
    const TimePoint now = m_clock.now();
    if (sending.answerClass != AnswerClass::Answer) {
        const bool isFull = sending.answerClass == AnswerClass::NotRun;
        m_balancer.end(sending.endpoint.id, isFull ? Experience::Refused : Experience::Failed, now - sending.startedAt, now);
        m_log.info("id={} endpoint={} outcome=not-run status={}", forwarding->id, sending.endpoint.id, sending.response.status);
        ++forwarding->refusals;
        return tryNext(forwarding);
    }
    m_balancer.end(sending.endpoint.id, Experience::Answered, now - sending.startedAt, now);
    ++forwarding->runs;
    if (forwarding->task.isOfCaller)
        m_guard.noteAnswered(fingerprintOf(*forwarding));
    forwarding->internalErrors += sending.response.status == internalError ? 1 : 0;
    if (sending.response.status >= internalError && (maySendAgain(*forwarding->task.route, stateOf(*forwarding)) || !forwarding->sendings.empty())) {
        forwarding->failure = std::move(sending.response);
        return tryNext(forwarding);
    }
    finish(forwarding, std::move(sending.response), "answered", sending.endpoint.id);
}

template <typename Protocol>
void Forwarder<Protocol>::giveUp(const Pointer& forwarding, std::string_view reason)
{
    if (forwarding->failure)
        return finish(forwarding, std::move(*forwarding->failure), "endpoint-failure", {});
    if (const auto comeBackAfter = refusedFor(*forwarding)) {
        m_metrics.counter("gateway_crash_refusals_total").add();
        return finish(forwarding, crashRefusal(stateOf(*forwarding), *comeBackAfter), crashRefusalReason, {});
    }
    finish(forwarding, refusal({ forwarding->runs, forwarding->refusals }, false, reason), reason, {});
}

template <typename Protocol>
void Forwarder<Protocol>::finish(const Pointer& forwarding, http1::Response response, std::string_view outcome, const EndpointId& endpoint)
{
    const Duration took = m_clock.now() - forwarding->task.receivedAt;
    m_log.info("id={} request={} route={} configuration={} service={} endpoint={} status={} outcome=\"{}\" runs={} refusals={} took-ms={}", forwarding->id, forwarding->fingerprint, forwarding->task.route->name, forwarding->task.table->version(), forwarding->service->name, endpoint, response.status, outcome, forwarding->runs, forwarding->refusals, internal::milliseconds(took));
    m_metrics.counter(response.status < 400 ? "gateway_answered_total" : "gateway_refused_total").add();
    m_metrics.histogram("gateway_request_seconds").record(took);
    stopSendings(forwarding, Experience::Overtaken);
    if (const auto onResult = std::exchange(forwarding->onResult, nullptr))
        onResult({ std::move(response), endpoint, forwarding->internalErrors });
}

/// Ends a request whose result nobody wants any more.
template <typename Protocol>
void Forwarder<Protocol>::abandon(const Pointer& forwarding)
{
    if (forwarding->isDone)
        return;
    m_log.info("id={} route={} outcome=abandoned sendings={} took-ms={}", forwarding->id, forwarding->task.route->name, forwarding->sendings.size(), internal::milliseconds(m_clock.now() - forwarding->task.receivedAt));
    m_metrics.counter("gateway_abandoned_total").add();
    forwarding->onResult = nullptr;
    stopSendings(forwarding, Experience::Overtaken);
}

template <typename Protocol>
void Forwarder<Protocol>::stopSendings(const Pointer& forwarding, Experience experience)
{
    if (std::exchange(forwarding->isDone, true))
        return;
    --m_inProgress;
    const TimePoint now = m_clock.now();
    for (auto& [number, sending] : forwarding->sendings) {
        sending.call->cancel();
        m_balancer.end(sending.endpoint.id, experience, now - sending.startedAt, now);
        m_budget.release(number);
        m_sendings.erase(number);
    }
    // The calls' callbacks refer to the forwarding; this breaks the cycle once they are gone.
    asio::post(m_io, [forwarding] { forwarding->sendings.clear(); });
    forwarding->deadlineTimer->cancel();
    if (forwarding->hedgeTimer)
        forwarding->hedgeTimer->cancel();
}

}
