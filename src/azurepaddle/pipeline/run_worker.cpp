#include "azurepaddle/pipeline/run_worker.hpp"

#include "azurepaddle/config/configuration.hpp"
#include "azurepaddle/core/digest.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace azurepaddle::pipeline {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t requestIdBytes = 12;
    constexpr std::size_t maxConcurrentScorings = 32;
    constexpr Duration waitPollInterval = std::chrono::milliseconds(100);
    constexpr Duration controlDeadline = std::chrono::seconds(5);
    constexpr Duration busyRetryDelay = std::chrono::milliseconds(200);
    constexpr int lastSamplesPriority = -1;

    rollout::RunSettings settingsFor(const RunDependencies& dependencies, const RunName& name)
    {
        rollout::RunSettings settings;
        settings.bufferBytes = dependencies.bufferBytes;
        const auto configuration = dependencies.configuration.current();
        if (const auto* run = configuration ? configuration->run(name) : nullptr) {
            settings.stalenessBound = run->stalenessVersions;
            settings.ageBound = run->stalenessTime;
            settings.isScored = !run->scoringService.empty();
        }
        return settings;
    }

    rollout::SampleBody toSampleBody(const Answer& answer)
    {
        rollout::SampleBody body { answer.text, answer.tokens, {}, answer.finishReason };
        std::uint32_t first = 0;
        for (const Span& span : answer.spans) {
            body.spans.push_back({ first, span.tokens, span.version });
            first += span.tokens;
        }
        return body;
    }

}

RunWorker::RunWorker(RunDependencies dependencies, RunName run, const control::RunRecord& record, TimePoint leaseStart)
    : m_dependencies(std::move(dependencies))
    , m_run(std::move(run))
    , m_scheduler(settingsFor(m_dependencies, m_run), m_run, record, m_dependencies.clock.now())
    , m_epoch(record.epoch)
    , m_leaseExpiry(leaseStart + m_dependencies.lease)
    , m_nextRenewal(leaseStart + m_dependencies.lease / 3)
{
    m_log.info("{}: this instance owns the run under epoch {}, cursor {}", m_run, m_epoch, record.confirmed);
}

bool RunWorker::isOwner() const
{
    const std::lock_guard lock(m_mutex);
    return !m_hasOwnershipEnded && m_dependencies.clock.now() < m_leaseExpiry;
}

void RunWorker::endOwnership(const std::string& reason)
{
    if (!std::exchange(m_hasOwnershipEnded, true))
        m_log.warning("{}: this instance no longer owns the run: {}", m_run, reason);
    for (auto& [id, running] : m_runningAttempts)
        running.stop.request_stop();
    m_ready.notify_all();
}

void RunWorker::release()
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_hasOwnershipEnded)
            return;
        endOwnership("released");
    }
    static_cast<void>(submit(control::ReleaseRun { m_run, m_epoch }, m_dependencies.clock.now() + controlDeadline));
}

PipelineResult<control::RunReply> RunWorker::submit(control::ControlAction action, TimePoint deadline) const
{
    return submitFor<control::RunReply>(m_dependencies.control, std::move(action), deadline);
}

void RunWorker::renewLease()
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_hasOwnershipEnded || m_isRenewing || m_dependencies.clock.now() < m_nextRenewal)
            return;
        m_isRenewing = true;
    }
    const TimePoint requestedAt = m_dependencies.clock.now();
    const control::AcquireRun request { m_run, m_dependencies.control.self, std::chrono::duration_cast<std::chrono::milliseconds>(m_dependencies.lease).count() };
    const auto reply = submit(request, requestedAt + m_dependencies.lease / 2);
    const std::lock_guard lock(m_mutex);
    m_isRenewing = false;
    if (reply && reply->status == control::RunStatus::Granted && reply->epoch == m_epoch) {
        m_leaseExpiry = requestedAt + m_dependencies.lease;
        m_nextRenewal = requestedAt + m_dependencies.lease / 3;
    } else if (reply) {
        endOwnership("the lease passed to another owner");
    } else if (m_dependencies.clock.now() >= m_leaseExpiry) {
        endOwnership("the lease expired before it could be renewed");
    }
}

void RunWorker::tick()
{
    const bool isRenewalDue = [&] {
        const std::lock_guard lock(m_mutex);
        return !m_hasOwnershipEnded && !m_isRenewing && m_dependencies.clock.now() >= m_nextRenewal;
    }();
    if (isRenewalDue)
        static_cast<void>(m_dependencies.background.run([self = shared_from_this()] { self->renewLease(); }));
    startAttempts();
    startScorings();
    const std::lock_guard lock(m_mutex);
    if (m_scheduler.isFenced())
        endOwnership("the ledger rejected the epoch of this owner");
    for (const auto id : m_scheduler.takeCancelled()) {
        if (const auto running = m_runningAttempts.find(id); running != m_runningAttempts.end())
            running->second.stop.request_stop();
    }
    const auto& counters = m_scheduler.counters();
    m_dependencies.metrics.counter("azurepaddle_samples_stale_total").add(counters.discardedStale - m_reportedCounters.discardedStale);
    m_dependencies.metrics.counter("azurepaddle_samples_bad_label_total").add(counters.badLabels - m_reportedCounters.badLabels);
    m_dependencies.metrics.counter("azurepaddle_samples_delivered_total").add(counters.handedOff - m_reportedCounters.handedOff);
    m_dependencies.metrics.counter("azurepaddle_samples_resent_total").add(counters.resent - m_reportedCounters.resent);
    m_dependencies.metrics.counter("azurepaddle_sample_attempts_second_total").add(counters.duplicatedAttempts - m_reportedCounters.duplicatedAttempts);
    m_reportedCounters = counters;
}

/// Number of attempts that may be started. It is limited to the endpoints' slots, because further attempts would only
/// wait in this instance's queue, where they cannot be reordered.
std::size_t RunWorker::freeSlots() const
{
    const auto configuration = m_dependencies.configuration.current();
    const auto* run = configuration ? configuration->run(m_run) : nullptr;
    if (!run)
        return 0;
    std::size_t slots = 0;
    for (const auto& record : m_dependencies.directory.candidates(ServiceName(run->service)))
        slots += record->announcement.slots;
    return slots > m_runningAttempts.size() ? slots - m_runningAttempts.size() : 0;
}

void RunWorker::startAttempts()
{
    const std::lock_guard lock(m_mutex);
    if (m_hasOwnershipEnded || m_dependencies.clock.now() >= m_leaseExpiry)
        return;
    for (const auto& attempt : m_scheduler.nextAttempts(m_dependencies.clock.now(), freeSlots())) {
        auto& running = m_runningAttempts[attempt.id];
        const bool started = m_dependencies.background.run([self = shared_from_this(), attempt, stop = running.stop.get_token()] { self->runAttempt(attempt, stop); });
        if (started)
            continue;
        m_runningAttempts.erase(attempt.id);
        m_scheduler.onAttemptFailed(attempt.id, m_dependencies.clock.now());
    }
}

/// Creates a work item of the run for the service that the given field names. Returns nothing if the run or the service
/// is no longer configured.
std::optional<WorkItem> RunWorker::makeWorkItem(const std::string config::RunConfiguration::*serviceField) const
{
    const auto configuration = m_dependencies.configuration.current();
    const auto* run = configuration ? configuration->run(m_run) : nullptr;
    const auto* service = run ? configuration->service(ServiceName(run->*serviceField)) : nullptr;
    if (!service)
        return std::nullopt;
    WorkItem item;
    item.id = RequestId(randomHex(requestIdBytes));
    item.tenant = TenantName(run->tenant);
    item.run = m_run;
    item.service = ServiceName(run->*serviceField);
    item.configuration = configuration;
    item.isEngine = service->isEngine();
    item.arrived = m_dependencies.clock.now();
    item.deadline = item.arrived + (item.isEngine ? service->deadlineLong : service->deadlineShort);
    return item;
}

std::optional<WorkItem> RunWorker::makeSampleItem(const rollout::Attempt& attempt) const
{
    auto item = makeWorkItem(&config::RunConfiguration::service);
    if (!item)
        return std::nullopt;
    item->path = "/v1/completions";
    item->generation.fields = Json { { "model", item->service.value() }, { "prompt", attempt.prompt }, { "max_tokens", attempt.tokenLimit } }.dump(-1, ' ', false, Json::error_handler_t::replace);
    item->generation.prompt = attempt.prompt;
    item->generation.maxTokens = attempt.tokenLimit;
    item->sampleIndex = attempt.sample.index;
    item->minVersion = attempt.minimumVersion;
    item->priority = attempt.isInStepTail ? lastSamplesPriority : 0;
    item->avoidedEndpoint = attempt.avoidedEndpoint;
    return item;
}

void RunWorker::runAttempt(const rollout::Attempt& attempt, const std::stop_token& stop)
{
    const auto item = makeSampleItem(attempt);
    PipelineResult<Answer> answer = refuse(PipelineErrorCode::NotFound, "the run is not configured");
    if (item && !stop.stop_requested()) {
        auto entry = m_dependencies.callers.admit(*item);
        if (entry) {
            answer = m_dependencies.sender.generate(
                *item, *entry, [&](const EngineEvent&) { return !stop.stop_requested(); }, stop,
                [&](const Grant& grant) { recordDispatch(attempt, grant); });
            m_dependencies.callers.record(*item, **entry, answer);
        } else {
            answer = tl::unexpected(entry.error());
        }
    }
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_dependencies.clock.now();
    m_runningAttempts.erase(attempt.id);
    if (answer && !answer->hasUnversionedTokens)
        static_cast<void>(m_scheduler.onAttemptFinished(attempt.id, toSampleBody(*answer), now));
    else
        m_scheduler.onAttemptFailed(attempt.id, now);
    m_ready.notify_all();
}

void RunWorker::recordDispatch(const rollout::Attempt& attempt, const Grant& grant)
{
    const auto record = m_dependencies.directory.find(grant.endpoint);
    const std::lock_guard lock(m_mutex);
    if (record && !record->announcement.versions.empty())
        m_scheduler.onAttemptSent(attempt.id, grant.endpoint, record->announcement.versions.back());
}

void RunWorker::startScorings()
{
    const std::lock_guard lock(m_mutex);
    if (m_hasOwnershipEnded || m_activeScorings >= maxConcurrentScorings)
        return;
    for (const auto& task : m_scheduler.nextScoringTasks(maxConcurrentScorings - m_activeScorings)) {
        if (m_dependencies.background.run([self = shared_from_this(), task] { self->runScoring(task); }))
            ++m_activeScorings;
        else
            m_scheduler.onScoringFailed(task);
    }
}

std::optional<WorkItem> RunWorker::makeScoringItem(const rollout::ScoringTask& task) const
{
    auto item = makeWorkItem(&config::RunConfiguration::scoringService);
    if (!item)
        return std::nullopt;
    item->path = "/score";
    item->contentType = "application/json";
    item->body = Json { { "run", m_run.value() }, { "group", task.sample.group.value() }, { "index", task.sample.index }, { "text", task.body->text } }.dump(-1, ' ', false, Json::error_handler_t::replace);
    return item;
}

void RunWorker::runScoring(const rollout::ScoringTask& task)
{
    std::optional<double> score;
    if (const auto item = makeScoringItem(task)) {
        if (auto entry = m_dependencies.callers.admit(*item)) {
            const auto result = m_dependencies.sender.call(*item, *entry, {});
            Answer usage;
            usage.tokens = 1;
            m_dependencies.callers.record(*item, **entry, result ? PipelineResult<Answer>(usage) : PipelineResult<Answer>(tl::unexpected(result.error())));
            const auto reply = result ? Json::parse(result->body, nullptr, false) : Json();
            if (reply.is_object() && reply.contains("score") && reply["score"].is_number())
                score = reply["score"].get<double>();
        }
    }
    const std::lock_guard lock(m_mutex);
    --m_activeScorings;
    if (score)
        m_scheduler.onScored(task, *score, m_dependencies.clock.now());
    else
        m_scheduler.onScoringFailed(task);
    m_ready.notify_all();
}

PipelineResult<void> RunWorker::submitGroups(const std::vector<control::GroupSpec>& groups, TimePoint deadline)
{
    const auto reply = submit(control::SubmitGroups { m_run, m_epoch, groups }, deadline);
    if (!reply)
        return tl::unexpected(reply.error());
    const std::string detail = reply->detail.empty() ? fmt::format("group {}", reply->group) : reply->detail;
    const std::lock_guard lock(m_mutex);
    switch (reply->status) {
    case control::RunStatus::Stored: {
        std::vector<control::GroupSpec> stored;
        std::copy_if(groups.begin(), groups.end(), std::back_inserter(stored), [&](const control::GroupSpec& spec) {
            return std::find(reply->stored.begin(), reply->stored.end(), spec.group) != reply->stored.end();
        });
        m_scheduler.submitGroups(stored);
        return {};
    }
    case control::RunStatus::GroupConflict:
        return refuse(PipelineErrorCode::Conflict, "a group was submitted earlier with other content: " + detail);
    case control::RunStatus::StepClosed:
        return refuse(PipelineErrorCode::Conflict, "the step is closed: " + detail);
    case control::RunStatus::RunFull:
        return refuse(PipelineErrorCode::Overloaded, "the run holds as many groups as allowed; submit again after a pull", busyRetryDelay);
    default:
        endOwnership("the ledger rejected the epoch of this owner");
        return refuse(PipelineErrorCode::ControlUnavailable, "the run has another owner", busyRetryDelay);
    }
}

PipelineResult<void> RunWorker::setVersion(WeightVersion version, TimePoint deadline)
{
    const auto reply = submit(control::SetTrainerVersion { m_run, m_epoch, version }, deadline);
    if (!reply)
        return tl::unexpected(reply.error());
    const std::lock_guard lock(m_mutex);
    if (reply->status == control::RunStatus::NotOwner) {
        endOwnership("the ledger rejected the epoch of this owner");
        return refuse(PipelineErrorCode::ControlUnavailable, "the run has another owner", busyRetryDelay);
    }
    m_scheduler.setTrainerVersion(version, m_dependencies.clock.now());
    return {};
}

PipelineResult<control::Sequence> RunWorker::reset(control::Sequence heldCursor, WeightVersion version, std::uint64_t step, TimePoint deadline)
{
    const auto record = m_dependencies.readRun(m_run, deadline);
    if (!record)
        return tl::unexpected(record.error());
    const control::Sequence cursor = record->highest + 1;
    const auto reply = submit(control::ResetRun { m_run, m_epoch, heldCursor, cursor, version, step }, deadline);
    if (!reply)
        return tl::unexpected(reply.error());
    if (reply->status != control::RunStatus::Reset)
        return refuse(PipelineErrorCode::Conflict, "the run was not reset: " + reply->detail, busyRetryDelay);
    const auto recordAfterReset = m_dependencies.readRun(m_run, deadline);
    std::unique_lock lock(m_mutex);
    if (recordAfterReset)
        m_scheduler.onReset(*recordAfterReset, m_dependencies.clock.now());
    else
        endOwnership("the record of the run could not be read after a reset");
    return cursor;
}

PipelineResult<rollout::PullReply> RunWorker::pull(const rollout::PullRequest& request, TimePoint waitUntil, TimePoint deadline)
{
    std::unique_lock lock(m_mutex);
    ++m_activePulls;
    PipelineResult<rollout::PullReply> result = refuse(PipelineErrorCode::ControlUnavailable, "the run has another owner", busyRetryDelay);
    while (!m_hasOwnershipEnded && m_dependencies.clock.now() < m_leaseExpiry) {
        auto step = m_scheduler.planPull(request, m_dependencies.clock.now());
        if (const auto* plan = std::get_if<rollout::HandOffPlan>(&step))
            result = commitHandOff(lock, *plan, deadline);
        else
            result = std::get<rollout::PullReply>(step);
        const bool mayWait = result && (result->status == rollout::PullStatus::Empty || result->status == rollout::PullStatus::Retry);
        if (!mayWait || m_dependencies.clock.now() >= waitUntil)
            break;
        if (m_scheduler.needsReload())
            reload(lock, deadline);
        m_ready.wait_for(lock, std::min<Duration>(waitPollInterval, waitUntil - m_dependencies.clock.now()));
    }
    --m_activePulls;
    return result;
}

/// Commits the plan to the ledger before any byte of the samples is sent. The scheduler then checks again that the
/// samples are fresh.
PipelineResult<rollout::PullReply> RunWorker::commitHandOff(std::unique_lock<std::mutex>& lock, const rollout::HandOffPlan& plan, TimePoint deadline)
{
    lock.unlock();
    const auto reply = submit(plan.record, deadline);
    lock.lock();
    if (reply)
        return m_scheduler.completePull(plan, *reply, m_dependencies.clock.now());
    m_scheduler.abandonPull();
    return fail(reply.error().code(), reply.error().outcome(), reply.error().message(), busyRetryDelay);
}

void RunWorker::reload(std::unique_lock<std::mutex>& lock, TimePoint deadline)
{
    lock.unlock();
    const auto record = m_dependencies.readRun(m_run, deadline);
    lock.lock();
    if (!record)
        return;
    if (record->epoch != m_epoch)
        return endOwnership("the lease passed to another owner");
    if (m_scheduler.needsReload())
        m_scheduler.reload(*record, m_dependencies.clock.now());
}

RunView RunWorker::view() const
{
    const std::lock_guard lock(m_mutex);
    return { m_run, m_scheduler.counters(), m_scheduler.trainerVersion(), m_scheduler.openGroups(), m_scheduler.pendingSamples(), m_scheduler.runningAttempts() };
}

std::size_t RunWorker::inProgress() const
{
    const std::lock_guard lock(m_mutex);
    return m_activePulls;
}

}
