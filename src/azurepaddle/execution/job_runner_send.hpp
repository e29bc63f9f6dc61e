#pragma once

#include "azurepaddle/execution/job_runner.hpp"

#include <algorithm>

namespace azurepaddle::execution {

namespace internal {

    constexpr Duration itemConnectTimeout = std::chrono::milliseconds(400);
    constexpr std::size_t maxEventBytes = 256U * 1024U;
    // An endpoint that sends more than this for one item is treated as faulty.
    constexpr std::size_t maxTextBytes = 8U * 1024U * 1024U;
    // An endpoint that refused an item is avoided until some of its items may have ended. The time doubles with each further
    // refusal, because an endpoint refuses all items while it loads weights, which may take longer than expected.
    constexpr Duration refusalAvoidance = std::chrono::milliseconds(60);
    constexpr unsigned maxRefusalDoublings = 2;
    constexpr Duration failureAvoidance = std::chrono::milliseconds(500);
    // A failed item is run again after this time at the latest, also if its failure could not be recorded.
    constexpr Duration maxFailureRecordTime = std::chrono::milliseconds(500);
    // Connections in addition to the slots, for calls that end while others start.
    constexpr std::size_t spareConnections = 8;

}

/// Whether an item may be sent to the endpoint within the limit that it names, if it names one.
template <typename Protocol>
bool JobRunner<Protocol>::acquirePermit(const EndpointId& endpoint)
{
    const registry::EndpointRecord* record = m_machine.directory().find(endpoint);
    if (!record || !m_limiter.isLimited(*record))
        return record != nullptr;
    const TimePoint now = m_clock.now();
    bool isPermitted = false;
    m_limiter.acquire({ endpoint, record->startedMs }, now, now, [&isPermitted](bool isGranted) { isPermitted = isGranted; });
    return isPermitted;
}

/// Starts an item as placed. Without a permit it keeps its text and waits for one or for another endpoint.
template <typename Protocol>
void JobRunner<Protocol>::startIfPermitted(const RunPointer& run, const batch::Placement& placement)
{
    if (!acquirePermit(placement.endpoint))
        return;
    if (placement.isRestart) {
        m_log.info("item id={} job={} endpoint={} outcome=starts-again events={}", run->item, run->job, placement.endpoint, textOf(*run).eventCount());
        m_metrics.counter("items_restarted_total").add();
        textOf(*run).clear();
    }
    start(run, placement.endpoint);
}

/// Names the workspace of a job in a request for it, if workspaces are configured.
template <typename Protocol>
void JobRunner<Protocol>::setCaller(http1::Request& request, const WorkspaceName& workspace) const
{
    if (const gateway::WorkspaceTable* workspaces = m_routes->workspaces())
        Protocol::setCaller(request, workspaces->callerOf(workspace));
}

template <typename Protocol>
void JobRunner<Protocol>::start(const RunPointer& run, const EndpointId& endpoint)
{
    const registry::EndpointRecord* record = m_machine.directory().find(endpoint);
    const batch::ItemSpec* spec = specOf(*run);
    if (!record || !spec)
        return;
    const TimePoint now = m_clock.now();
    CachedText& known = m_texts[run->item];
    known.lastUsedAt = now;
    // Items are placed where their text can be continued. The text is checked nonetheless, because the endpoint may have
    // restarted with other software since.
    if (!known.text.continueWith(record->software))
        m_log.info("item id={} job={} endpoint={} software={} outcome=text-discarded", run->item, run->job, endpoint, record->software);
    run->stage = Stage::Running;
    run->number = m_nextNumber++;
    run->endpoint = endpoint;
    run->parser = std::make_shared<http1::EventStreamParser>(internal::maxEventBytes);
    run->status = 0;
    run->version = 0;
    run->startedAt = now;
    run->lastEventAt = now;
    run->eventsFromEndpoint = 0;
    ++m_running[endpoint][run->model];
    m_longItems[endpoint] += run->isLong ? 1 : 0;
    const auto ifCurrent = [weak = std::weak_ptr(run), number = run->number]() -> RunPointer {
        const auto current = weak.lock();
        return current && current->number == number && current->stage == Stage::Running ? current : nullptr;
    };
    http1::CallEvents events;
    events.onHead = [this, ifCurrent](const http1::Response& head) {
        const auto current = ifCurrent();
        return !current || onHead(current, head);
    };
    events.onBody = [this, ifCurrent](const std::string& bytes) {
        if (const auto current = ifCurrent())
            onBody(current, bytes);
    };
    events.onEnd = [this, ifCurrent](const http1::CallEnd& end) {
        if (const auto current = ifCurrent())
            onEnd(current, end);
    };
    http1::Request request = Protocol::itemRequest(*spec, run->host, endpoint, known.text.eventCount());
    setCaller(request, run->workspace);
    http1::CallOptions options;
    options.connectTimeout = internal::itemConnectTimeout;
    options.maxConnections = record->slots + internal::spareConnections;
    run->call = m_pool.send(record->address(), request, options, std::move(events));
    m_metrics.counter("items_sent_total").add();
    recordPrompt(*run, *spec, *record, now);
}

/// Records the sending of an item, and what its endpoint is predicted to hold of its prompt before it gets there.
template <typename Protocol>
void JobRunner<Protocol>::recordPrompt(const Run& run, const batch::ItemSpec& spec, const registry::EndpointRecord& record, TimePoint now)
{
    const batch::PromptHolder holder { record.id, record.startedMs, run.model, m_liveness.versionOf(record, run.model) };
    const std::uint64_t promptTokens = spec.prompt.empty() ? spec.promptTokens : batch::countTokens(spec.prompt);
    const std::uint64_t heldTokens = m_prefixCache.find(holder, spec.prompt, now).tokens;
    const std::uint64_t events = m_texts[run.item].text.eventCount();
    m_prefixCache.recordSent(run.number, holder, kvCapacityOf(record.service), spec.prompt, events * internal::tokensPerEvent, now);
    m_log.info("item id={} job={} model={} min-version={} endpoint={} software={} resumes-after={} outcome=sent prompt-tokens={} held-tokens={}", run.item, run.job, run.model, run.minVersion, record.id, record.software, events, promptTokens, heldTokens);
    m_metrics.counter("items_prompt_tokens_total").add(promptTokens);
    m_metrics.counter("items_prompt_tokens_held_total").add(heldTokens);
}

/// Cancels the call or the scoring of an item without an outcome and returns the item to the waiting state.
template <typename Protocol>
void JobRunner<Protocol>::stop(const RunPointer& run)
{
    if (run->stage == Stage::Scoring)
        return stopScoring(run);
    if (run->stage != Stage::Running)
        return;
    m_prefixCache.recordEnded(run->number);
    run->stage = Stage::Waiting;
    run->number = 0;
    run->waitingSince = m_clock.now();
    if (const auto call = std::exchange(run->call, nullptr))
        call->cancel();
    std::uint32_t& count = m_running[run->endpoint][run->model];
    count -= std::min(count, 1U);
    if (std::uint32_t& longItems = m_longItems[run->endpoint]; run->isLong)
        longItems -= std::min(longItems, 1U);
}

/// Marks a running item as long once its output reaches the threshold of its job.
template <typename Protocol>
void JobRunner<Protocol>::markIfLong(const RunPointer& run)
{
    if (run->isLong || textOf(*run).eventCount() * internal::tokensPerEvent < run->longTokensThreshold)
        return;
    run->isLong = true;
    ++m_longItems[run->endpoint];
}

template <typename Protocol>
void JobRunner<Protocol>::avoid(const EndpointId& endpoint, Duration duration)
{
    TimePoint& until = m_avoidUntil[endpoint];
    until = std::max(until, m_clock.now() + duration);
}

/// Records an endpoint as draining because its response says so, so that it gets no new items.
template <typename Protocol>
void JobRunner<Protocol>::markDraining(const EndpointId& endpoint)
{
    const registry::EndpointRecord* record = m_machine.directory().find(endpoint);
    if (!record || !m_liveness.isAcceptingWork(*record))
        return;
    m_log.info("endpoint id={} started={} outcome=leaving", endpoint, record->startedMs);
    m_liveness.recordDraining({ endpoint, record->startedMs });
}

template <typename Protocol>
void JobRunner<Protocol>::requeue(const RunPointer& run, std::string_view cause, Duration delay)
{
    m_log.info("item id={} job={} endpoint={} outcome=again cause=\"{}\" events={}", run->item, run->job, run->endpoint, cause, textOf(*run).eventCount());
    m_metrics.counter("items_repeated_total").add();
    stop(run);
    run->notBefore = m_clock.now() + delay;
    if (delay == Duration::zero())
        scheduleUpdate();
}

template <typename Protocol>
void JobRunner<Protocol>::move(const RunPointer& run, const EndpointId& target, std::string_view cause, const std::string& details)
{
    if (!acquirePermit(target))
        return;
    m_log.info("item id={} job={} endpoint={} target={} outcome=moved cause={} events={}{}", run->item, run->job, run->endpoint, target, cause, textOf(*run).eventCount(), details);
    m_metrics.counter("items_moved_total").add();
    stop(run);
    start(run, target);
}

/// Records the limit that a response names. A refusal without a limit does not end one.
template <typename Protocol>
void JobRunner<Protocol>::recordLimit(const Run& run, const http1::Response& head)
{
    const registry::EndpointRecord* record = m_machine.directory().find(run.endpoint);
    const auto limit = Protocol::limitOf(head);
    if (record && (limit || run.answerClass == gateway::AnswerClass::Answer))
        m_limiter.recordAnswer({ run.endpoint, record->startedMs }, limit, run.startedAt, m_clock.now());
}

/// Returns false if the response belongs to another request.
template <typename Protocol>
bool JobRunner<Protocol>::onHead(const RunPointer& run, const http1::Response& head)
{
    run->answerClass = Protocol::classify(head, run->item.value());
    if (run->answerClass == gateway::AnswerClass::OtherRequest)
        return false;
    run->status = head.status;
    if (run->answerClass != gateway::AnswerClass::WrongEndpoint && Protocol::isLeaving(head))
        markDraining(run->endpoint);
    if (run->answerClass != gateway::AnswerClass::WrongEndpoint)
        recordLimit(*run, head);
    if (const auto load = Protocol::loadOf(head))
        m_speedMeter.recordReportedSlowness(run->endpoint, load->slowness, m_clock.now());
    if (run->answerClass != gateway::AnswerClass::Answer || head.status != 200)
        return true;
    m_refusals.erase(run->endpoint);
    const auto version = Protocol::versionOf(head);
    run->version = version.value_or(0);
    m_prefixCache.recordBegun(run->number, version);
    if (m_isAnyHeldBack)
        scheduleUpdate();
    const auto required = requiredVersion(*run);
    const bool isTooOld = run->version < run->minVersion;
    if (isTooOld || (required && *required != run->version)) {
        m_log.info("item id={} endpoint={} has version={} min-version={}", run->item, run->endpoint, run->version, run->minVersion);
        if (isTooOld) {
            m_liveness.recordVersion(run->endpoint, run->model, run->version);
            avoid(run->endpoint, internal::refusalAvoidance);
        }
        requeue(run, "wrong version", internal::retryDelay);
    }
    return true;
}

template <typename Protocol>
void JobRunner<Protocol>::onBody(const RunPointer& run, const std::string& bytes)
{
    if (run->status != 200 || run->answerClass != gateway::AnswerClass::Answer)
        return;
    const auto parser = run->parser;
    const std::uint64_t number = run->number;
    const bool isParsed = parser->feed(bytes, [&](http1::StreamEvent event) {
        if (run->number == number)
            onEvent(run, std::move(event));
    });
    if (!isParsed && run->number == number)
        requeue(run, "event too large", internal::retryDelay);
}

template <typename Protocol>
void JobRunner<Protocol>::onEvent(const RunPointer& run, http1::StreamEvent event)
{
    const TimePoint now = m_clock.now();
    if (const auto version = Protocol::versionOf(event))
        run->version = *version;
    const auto number = Protocol::eventNumber(event);
    ItemText& text = textOf(*run);
    if (run->isSingleVersion && !text.versions().empty() && text.versions().back() != run->version) {
        text.clear();
        return requeue(run, "version changed", Duration::zero());
    }
    if (!number || !text.append(*number, std::move(event.data), run->version)) {
        avoid(run->endpoint, internal::refusalAvoidance);
        return requeue(run, "event out of order", internal::retryDelay);
    }
    if (text.bytes() > internal::maxTextBytes) {
        text.clear();
        avoid(run->endpoint, internal::failureAvoidance);
        return requeue(run, "text without end", internal::retryDelay);
    }
    const auto loading = m_loadingModels.find(run->endpoint);
    const bool isPaused = loading != m_loadingModels.end() && !loading->second.empty();
    if (run->eventsFromEndpoint++ > 0 && !isPaused)
        m_speedMeter.recordEventInterval(run->endpoint, now - run->lastEventAt, now);
    run->lastEventAt = now;
    m_prefixCache.recordGenerated(run->number, internal::tokensPerEvent);
    markIfLong(run);
}

template <typename Protocol>
void JobRunner<Protocol>::onEnd(const RunPointer& run, const http1::CallEnd& end)
{
    if (end.kind != http1::CallEndKind::Complete) {
        const bool hasNoConnection = end.kind == http1::CallEndKind::NoConnection;
        if (!hasNoConnection && run->eventsFromEndpoint == 0)
            avoid(run->endpoint, internal::failureAvoidance);
        return requeue(run, end.message, hasNoConnection ? internal::retryDelay : Duration::zero());
    }
    if (run->answerClass != gateway::AnswerClass::Answer)
        return onRefused(run);
    if (run->status != 200)
        return onFailure(run);
    onStreamEnd(run);
}

/// The time for which an endpoint that refused an item is avoided. Items that are refused together count once.
template <typename Protocol>
Duration JobRunner<Protocol>::refusalAvoidanceFor(const EndpointId& endpoint)
{
    unsigned& refusals = m_refusals[endpoint];
    const auto avoided = m_avoidUntil.find(endpoint);
    if (avoided == m_avoidUntil.end() || m_clock.now() >= avoided->second)
        refusals = std::min(refusals + 1, internal::maxRefusalDoublings + 1);
    return internal::refusalAvoidance * (1U << (std::max(refusals, 1U) - 1));
}

template <typename Protocol>
void JobRunner<Protocol>::onRefused(const RunPointer& run)
{
    const bool isFull = run->answerClass == gateway::AnswerClass::NotRun;
    avoid(run->endpoint, isFull ? refusalAvoidanceFor(run->endpoint) : internal::failureAvoidance);
    requeue(run, isFull ? "refused" : "wrong endpoint", Duration::zero());
}

template <typename Protocol>
void JobRunner<Protocol>::onFailure(const RunPointer& run)
{
    constexpr unsigned unprocessable = 422;
    const unsigned status = run->status;
    ++run->failures.runs;
    m_log.info("item id={} job={} endpoint={} outcome=failed status={} failures={}", run->item, run->job, run->endpoint, status, run->failures.runs);
    stop(run);
    if (status == unprocessable || run->failures.runs >= run->maxAttempts)
        return finish(run, { run->item, batch::ResultState::Abandoned, {}, {}, {} });
    requeue(run, "endpoint failure", internal::maxFailureRecordTime);
    // The next run waits until the failure is recorded: a later leader would not know of it and run the item once more.
    recordFailures(*run, [this, weak = std::weak_ptr(run)] {
        if (const auto recorded = weak.lock(); recorded && recorded->stage == Stage::Waiting)
            recorded->notBefore = std::min(recorded->notBefore, m_clock.now() + internal::retryDelay);
    });
}

/// Records how often an item has failed, so that the next leader does not start counting from 0.
template <typename Protocol>
void JobRunner<Protocol>::recordFailures(const Run& run, const std::function<void()>& onRecorded)
{
    m_group.propose(registry::encodeCommand(registry::RecordItemFailures { run.job, run.failures }), [onRecorded](const cluster::ProposalResult& result) {
        if (onRecorded && result.status == cluster::ProposalStatus::Applied)
            onRecorded();
    });
}

template <typename Protocol>
void JobRunner<Protocol>::onStreamEnd(const RunPointer& run)
{
    ItemText& text = textOf(*run);
    if (run->parser->isWithinEvent() || text.eventCount() == 0)
        return requeue(run, "stream ended early", internal::retryDelay);
    stop(run);
    onTextComplete(run);
    scheduleUpdate();
}

}
