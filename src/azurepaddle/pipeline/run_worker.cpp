#include "azurepaddle/pipeline/run_worker.hpp"

#include "azurepaddle/config/configuration.hpp"
#include "azurepaddle/core/digest.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace azurepaddle::pipeline {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t requestIdBytes = 12;
    constexpr std::size_t maxScorings = 32;
    constexpr Duration waitPoll = std::chrono::milliseconds(100);
    constexpr Duration controlDeadline = std::chrono::seconds(5);
    constexpr Duration busyRetry = std::chrono::milliseconds(200);
    constexpr int lastSamplesPriority = -1;

    rollout::RunSettings settingsFor(const RunDependencies& parts, const RunName& name)
    {
        rollout::RunSettings settings;
        settings.bufferBytes = parts.bufferBytes;
        const auto configuration = parts.configuration.current();
        if (const auto* run = configuration ? configuration->run(name) : nullptr) {
            settings.stalenessBound = run->stalenessVersions;
            settings.ageBound = run->stalenessTime;
            settings.isScored = !run->scoringService.empty();
        }
        return settings;
    }

    rollout::SampleBody toBody(const Answer& answer)
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

RunWorker::RunWorker(RunDependencies parts, RunName run, const control::RunRecord& record, TimePoint leaseStart)
    : m_parts(std::move(parts))
    , m_run(std::move(run))
    , m_scheduler(settingsFor(m_parts, m_run), m_run, record, m_parts.clock.now())
    , m_epoch(record.epoch)
    , m_leaseEnds(leaseStart + m_parts.lease)
    , m_nextRenewal(leaseStart + m_parts.lease / 3)
{
    m_log.info("{}: owned here under epoch {}, cursor {}", m_run, m_epoch, record.confirmed);
}

bool RunWorker::isOwner() const
{
    const std::lock_guard lock(m_mutex);
    return !m_isLost && m_parts.clock.now() < m_leaseEnds;
}

void RunWorker::loseLease(const std::string& reason)
{
    if (!std::exchange(m_isLost, true))
        m_log.warning("{}: no longer owned here: {}", m_run, reason);
    for (auto& [id, running] : m_running)
        running.stop.request_stop();
    m_ready.notify_all();
}

void RunWorker::release()
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_isLost)
            return;
        loseLease("released");
    }
    static_cast<void>(submit(control::ReleaseRun { m_run, m_epoch }, m_parts.clock.now() + controlDeadline));
}

PipelineResult<control::RunReply> RunWorker::submit(control::ControlAction action, TimePoint deadline) const
{
    return submitFor<control::RunReply>(m_parts.control, std::move(action), deadline);
}

void RunWorker::renewLease()
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_isLost || m_isRenewing || m_parts.clock.now() < m_nextRenewal)
            return;
        m_isRenewing = true;
    }
    const TimePoint asked = m_parts.clock.now();
    const control::AcquireRun request { m_run, m_parts.control.self, std::chrono::duration_cast<std::chrono::milliseconds>(m_parts.lease).count() };
    const auto reply = submit(request, asked + m_parts.lease / 2);
    const std::lock_guard lock(m_mutex);
    m_isRenewing = false;
    if (reply && reply->status == control::RunStatus::Granted && reply->epoch == m_epoch) {
        m_leaseEnds = asked + m_parts.lease;
        m_nextRenewal = asked + m_parts.lease / 3;
    } else if (reply) {
        loseLease("the lease passed to another owner");
    } else if (m_parts.clock.now() >= m_leaseEnds) {
        loseLease("the lease ended and could not be renewed");
    }
}

void RunWorker::tick()
{
    const bool due = [&] {
        const std::lock_guard lock(m_mutex);
        return !m_isLost && !m_isRenewing && m_parts.clock.now() >= m_nextRenewal;
    }();
    if (due)
        static_cast<void>(m_parts.background.run([self = shared_from_this()] { self->renewLease(); }));
    startAttempts();
    startScorings();
    const std::lock_guard lock(m_mutex);
    if (m_scheduler.isFenced())
        loseLease("the ledger refused its epoch");
    for (const auto id : m_scheduler.takeCancelled()) {
        if (const auto running = m_running.find(id); running != m_running.end())
            running->second.stop.request_stop();
    }
    const auto& now = m_scheduler.counters();
    m_parts.metrics.counter("azurepaddle_samples_stale_total").add(now.discardedStale - m_counted.discardedStale);
    m_parts.metrics.counter("azurepaddle_samples_bad_label_total").add(now.badLabels - m_counted.badLabels);
    m_parts.metrics.counter("azurepaddle_samples_delivered_total").add(now.handedOff - m_counted.handedOff);
    m_parts.metrics.counter("azurepaddle_samples_resent_total").add(now.resent - m_counted.resent);
    m_parts.metrics.counter("azurepaddle_sample_attempts_second_total").add(now.duplicatedAttempts - m_counted.duplicatedAttempts);
    m_counted = now;
}

/// Attempts beyond the endpoints' slots would only wait in this instance's queue, where they cannot be reordered.
std::size_t RunWorker::freeSlots() const
{
    const auto configuration = m_parts.configuration.current();
    const auto* run = configuration ? configuration->run(m_run) : nullptr;
    if (!run)
        return 0;
    std::size_t slots = 0;
    for (const auto& record : m_parts.directory.candidates(ServiceName(run->service)))
        slots += record->announcement.slots;
    return slots > m_running.size() ? slots - m_running.size() : 0;
}

void RunWorker::startAttempts()
{
    const std::lock_guard lock(m_mutex);
    if (m_isLost || m_parts.clock.now() >= m_leaseEnds)
        return;
    for (const auto& attempt : m_scheduler.nextAttempts(m_parts.clock.now(), freeSlots())) {
        auto& running = m_running[attempt.id];
        const bool started = m_parts.background.run([self = shared_from_this(), attempt, stop = running.stop.get_token()] { self->runAttempt(attempt, stop); });
        if (started)
            continue;
        m_running.erase(attempt.id);
        m_scheduler.onAttemptFailed(attempt.id, m_parts.clock.now());
    }
}

/// A work item of the run for a service, or nothing if either is not configured any more.
std::optional<WorkItem> RunWorker::itemFor(const std::string config::RunConfiguration::*serviceOf) const
{
    const auto configuration = m_parts.configuration.current();
    const auto* run = configuration ? configuration->run(m_run) : nullptr;
    const auto* service = run ? configuration->service(ServiceName(run->*serviceOf)) : nullptr;
    if (!service)
        return std::nullopt;
    WorkItem item;
    item.id = RequestId(randomHex(requestIdBytes));
    item.tenant = TenantName(run->tenant);
    item.run = m_run;
    item.service = ServiceName(run->*serviceOf);
    item.configuration = configuration;
    item.isEngine = service->isEngine();
    item.arrived = m_parts.clock.now();
    item.deadline = item.arrived + (item.isEngine ? service->deadlineLong : service->deadlineShort);
    return item;
}

std::optional<WorkItem> RunWorker::sampleItem(const rollout::Attempt& attempt) const
{
    auto item = itemFor(&config::RunConfiguration::service);
    if (!item)
        return std::nullopt;
    item->path = "/v1/completions";
    item->generation.fields = Json { { "model", item->service.value() }, { "prompt", attempt.prompt }, { "max_tokens", attempt.tokenLimit } }.dump(-1, ' ', false, Json::error_handler_t::replace);
    item->generation.prompt = attempt.prompt;
    item->generation.maxTokens = attempt.tokenLimit;
    item->sampleIndex = attempt.sample.index;
    item->minVersion = attempt.minimumVersion;
    item->priority = attempt.isLast ? lastSamplesPriority : 0;
    item->avoid = attempt.avoid;
    return item;
}

void RunWorker::runAttempt(const rollout::Attempt& attempt, const std::stop_token& stop)
{
    const auto item = sampleItem(attempt);
    PipelineResult<Answer> answer = refuse(PipelineErrorCode::NotFound, "the run is not configured");
    if (item && !stop.stop_requested()) {
        auto entry = m_parts.callers.admit(*item);
        if (entry) {
            answer = m_parts.sender.generate(
                *item, *entry, [&](const EngineEvent&) { return !stop.stop_requested(); }, stop,
                [&](const Grant& grant) { noteSent(attempt, grant); });
            m_parts.callers.record(*item, **entry, answer);
        } else {
            answer = tl::unexpected(entry.error());
        }
    }
    const std::lock_guard lock(m_mutex);
    const TimePoint now = m_parts.clock.now();
    m_running.erase(attempt.id);
    if (answer && !answer->unlabelled)
        static_cast<void>(m_scheduler.onAttemptFinished(attempt.id, toBody(*answer), now));
    else
        m_scheduler.onAttemptFailed(attempt.id, now);
    m_ready.notify_all();
}

void RunWorker::noteSent(const rollout::Attempt& attempt, const Grant& grant)
{
    const auto record = m_parts.directory.find(grant.endpoint);
    const std::lock_guard lock(m_mutex);
    if (record && !record->announcement.versions.empty())
        m_scheduler.onAttemptSent(attempt.id, grant.endpoint, record->announcement.versions.back());
}

void RunWorker::startScorings()
{
    const std::lock_guard lock(m_mutex);
    if (m_isLost || m_scoring >= maxScorings)
        return;
    for (const auto& task : m_scheduler.nextScorings(maxScorings - m_scoring)) {
        if (m_parts.background.run([self = shared_from_this(), task] { self->runScoring(task); }))
            ++m_scoring;
        else
            m_scheduler.onScoringFailed(task);
    }
}

std::optional<WorkItem> RunWorker::scoringItem(const rollout::ScoringTask& task) const
{
    auto item = itemFor(&config::RunConfiguration::scoringService);
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
    if (const auto item = scoringItem(task)) {
        if (auto entry = m_parts.callers.admit(*item)) {
            const auto result = m_parts.sender.call(*item, *entry, {});
            Answer counted;
            counted.tokens = 1;
            m_parts.callers.record(*item, **entry, result ? PipelineResult<Answer>(counted) : PipelineResult<Answer>(tl::unexpected(result.error())));
            const auto reply = result ? Json::parse(result->body, nullptr, false) : Json();
            if (reply.is_object() && reply.contains("score") && reply["score"].is_number())
                score = reply["score"].get<double>();
        }
    }
    const std::lock_guard lock(m_mutex);
    --m_scoring;
    if (score)
        m_scheduler.onScored(task, *score, m_parts.clock.now());
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
        return refuse(PipelineErrorCode::Overloaded, "the run holds as many groups as allowed; submit again after a pull", busyRetry);
    default:
        loseLease("the ledger refused its epoch");
        return refuse(PipelineErrorCode::ControlUnavailable, "the run has another owner", busyRetry);
    }
}

PipelineResult<void> RunWorker::setVersion(WeightVersion version, TimePoint deadline)
{
    const auto reply = submit(control::SetTrainerVersion { m_run, m_epoch, version }, deadline);
    if (!reply)
        return tl::unexpected(reply.error());
    const std::lock_guard lock(m_mutex);
    if (reply->status == control::RunStatus::NotOwner) {
        loseLease("the ledger refused its epoch");
        return refuse(PipelineErrorCode::ControlUnavailable, "the run has another owner", busyRetry);
    }
    m_scheduler.setTrainerVersion(version, m_parts.clock.now());
    return {};
}

PipelineResult<control::Sequence> RunWorker::reset(control::Sequence held, WeightVersion version, std::uint64_t step, TimePoint deadline)
{
    const auto record = m_parts.readRun(m_run, deadline);
    if (!record)
        return tl::unexpected(record.error());
    const control::Sequence cursor = record->highest + 1;
    const auto reply = submit(control::ResetRun { m_run, m_epoch, held, cursor, version, step }, deadline);
    if (!reply)
        return tl::unexpected(reply.error());
    if (reply->status != control::RunStatus::Reset)
        return refuse(PipelineErrorCode::Conflict, "the run was not reset: " + reply->detail, busyRetry);
    const auto after = m_parts.readRun(m_run, deadline);
    std::unique_lock lock(m_mutex);
    if (after)
        m_scheduler.onReset(*after, m_parts.clock.now());
    else
        loseLease("its record could not be read after a reset");
    return cursor;
}

PipelineResult<rollout::PullReply> RunWorker::pull(const rollout::PullRequest& request, TimePoint waitUntil, TimePoint deadline)
{
    std::unique_lock lock(m_mutex);
    ++m_pulls;
    PipelineResult<rollout::PullReply> result = refuse(PipelineErrorCode::ControlUnavailable, "the run has another owner", busyRetry);
    while (!m_isLost && m_parts.clock.now() < m_leaseEnds) {
        auto step = m_scheduler.planPull(request, m_parts.clock.now());
        if (const auto* plan = std::get_if<rollout::HandOffPlan>(&step))
            result = commitHandOff(lock, *plan, deadline);
        else
            result = std::get<rollout::PullReply>(step);
        const bool mayWait = result && (result->status == rollout::PullStatus::Empty || result->status == rollout::PullStatus::Retry);
        if (!mayWait || m_parts.clock.now() >= waitUntil)
            break;
        if (m_scheduler.needsReload())
            reload(lock, deadline);
        m_ready.wait_for(lock, std::min<Duration>(waitPoll, waitUntil - m_parts.clock.now()));
    }
    --m_pulls;
    return result;
}

/// Commits the plan before any byte of the samples leaves, then lets the scheduler check freshness once more.
PipelineResult<rollout::PullReply> RunWorker::commitHandOff(std::unique_lock<std::mutex>& lock, const rollout::HandOffPlan& plan, TimePoint deadline)
{
    lock.unlock();
    const auto reply = submit(plan.record, deadline);
    lock.lock();
    if (reply)
        return m_scheduler.completePull(plan, *reply, m_parts.clock.now());
    m_scheduler.abandonPull();
    return fail(reply.error().code(), reply.error().outcome(), reply.error().message(), busyRetry);
}

void RunWorker::reload(std::unique_lock<std::mutex>& lock, TimePoint deadline)
{
    lock.unlock();
    const auto record = m_parts.readRun(m_run, deadline);
    lock.lock();
    if (!record)
        return;
    if (record->epoch != m_epoch)
        return loseLease("the lease passed to another owner");
    if (m_scheduler.needsReload())
        m_scheduler.reload(*record, m_parts.clock.now());
}

RunView RunWorker::view() const
{
    const std::lock_guard lock(m_mutex);
    return { m_run, m_scheduler.counters(), m_scheduler.trainerVersion(), m_scheduler.openGroups(), m_scheduler.pendingSamples(), m_scheduler.runningAttempts() };
}

std::size_t RunWorker::inProgress() const
{
    const std::lock_guard lock(m_mutex);
    return m_pulls;
}

}
