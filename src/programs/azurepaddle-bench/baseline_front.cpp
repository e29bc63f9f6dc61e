#include "baseline_front.hpp"

#include <algorithm>

namespace azurepaddle::bench {

namespace {

    constexpr double leaseSeconds = 3;
    constexpr double silenceSeconds = 10;
    constexpr double reservedShortSlots = 0.25; // The oracle keeps this part of the slots free of long work.

}

std::string_view policyName(Policy policy) noexcept
{
    constexpr std::string_view names[] = { "service", "random", "round-robin", "least-reported", "two-choices", "fifo", "oracle", "oracle-no-sizes" };
    return names[static_cast<std::size_t>(policy)];
}

BaselineFront::BaselineFront(World& world, Policy policy)
    : m_world(world)
    , m_knowsSizes(policy == Policy::Oracle)
    , m_policy(policy == Policy::OracleWithoutSizes ? Policy::Oracle : policy)
    , m_random(world.options().seed + 4242)
    , m_known(world.deployment().instances, std::vector<Known>(world.engineCount()))
    , m_next(world.deployment().instances)
    , m_assigned(world.engineCount())
{
    for (std::size_t i = 0; i < m_next.size(); ++i)
        m_next[i] = i;
}

void BaselineFront::start()
{
    Front front;
    front.submit = [this](const JobPointer& job) { submit(job); };
    front.token = [this](const ExecutionPointer& execution) { onToken(execution); };
    front.lost = [this](const ExecutionPointer& execution) { onLost(execution); };
    front.report = [this](std::size_t instance, std::size_t engine, const EngineReport& report) { onReport(instance, engine, report); };
    if (m_policy == Policy::Oracle)
        front.slowChanged = [this](std::size_t engine) { onSlowChanged(engine); };
    m_world.setFront(std::move(front));
    m_world.simulator().every(std::chrono::milliseconds(100), [this] { tick(); });
}

void BaselineFront::submit(const JobPointer& job)
{
    if (m_policy == Policy::Oracle && job->crashesEndpoint)
        return m_world.refuse(job);
    if (m_policy != Policy::Oracle && m_policy != Policy::Fifo)
        return trySend(job);
    auto position = m_queue.end();
    if (m_policy == Policy::Oracle) {
        // Short work first; samples by step, the longest first, since the last one to end holds up the step.
        const auto isLater = [&](const JobPointer& other) {
            if (other->workClass != job->workClass)
                return other->workClass == WorkClass::Long;
            return job->trainer && other->trainer && (other->step > job->step || (other->step == job->step && m_knowsSizes && other->outputTokens < job->outputTokens));
        };
        position = std::find_if(m_queue.begin(), m_queue.end(), isLater);
    }
    m_queue.insert(position, job);
    drainQueue();
}

void BaselineFront::drainQueue()
{
    // Each instance has a queue for each service and is blocked by its head; the oracle has one for each class.
    std::set<std::pair<std::size_t, std::size_t>> blocked;
    const std::size_t instances = m_policy == Policy::Oracle ? 2 : m_world.deployment().instances;
    const std::size_t queues = instances * m_world.deployment().services.size();
    for (auto position = m_queue.begin(); position != m_queue.end() && blocked.size() < queues;) {
        const Job& head = **position;
        const std::size_t part = m_policy == Policy::Oracle ? static_cast<std::size_t>(head.workClass) : head.instance;
        const std::pair<std::size_t, std::size_t> key { part, head.service };
        const auto engine = blocked.count(key) > 0 ? std::nullopt : choose(head);
        if (!engine) {
            blocked.insert(key);
            ++position;
            continue;
        }
        const JobPointer job = *position;
        position = m_queue.erase(position);
        send(job, *engine);
    }
}

void BaselineFront::trySend(const JobPointer& job)
{
    const auto engine = choose(*job);
    if (engine)
        return send(job, *engine);
    m_world.simulator().after(std::chrono::seconds(1), [this, job] { trySend(job); });
}

std::vector<std::size_t> BaselineFront::candidates(const Job& job) const
{
    std::vector<std::size_t> result;
    for (std::size_t engine = 0; engine < m_world.engineCount(); ++engine) {
        const bool isUp = m_policy == Policy::Oracle ? m_world.engine(engine).isAlive() : m_known[job.instance][engine].isUp;
        if (m_world.serviceOf(engine) == job.service && isUp)
            result.push_back(engine);
    }
    return result;
}

std::optional<std::size_t> BaselineFront::choose(const Job& job)
{
    if (m_policy == Policy::Oracle)
        return chooseTrueBest(job, std::nullopt);
    const std::vector<std::size_t> engines = candidates(job);
    if (engines.empty())
        return std::nullopt;
    const auto& known = m_known[job.instance];
    const auto reported = [&](std::size_t engine) { return known[engine].load; };
    const std::size_t first = engines[m_random.below(engines.size())];
    switch (m_policy) {
    case Policy::LeastReported: {
        std::size_t best = first;
        for (const std::size_t engine : engines)
            best = reported(engine) < reported(best) ? engine : best;
        return best;
    }
    case Policy::TwoChoices: {
        const std::size_t second = engines[m_random.below(engines.size())];
        return reported(first) + known[first].own <= reported(second) + known[second].own ? first : second;
    }
    case Policy::RoundRobin:
        return engines[m_next[job.instance]++ % engines.size()];
    case Policy::Fifo: {
        const double slots = m_world.deployment().services[job.service].engine.slots;
        for (std::size_t i = 0; i < engines.size(); ++i) {
            const std::size_t engine = engines[m_next[job.instance]++ % engines.size()];
            if (known[engine].own + 1 <= slots)
                return engine;
        }
        return std::nullopt;
    }
    default:
        return first;
    }
}

double BaselineFront::trueSeconds(const Job& job, std::size_t engine) const
{
    const Engine& state = m_world.engine(engine);
    const double batch = static_cast<double>(m_assigned[engine] + 1);
    const double work = (m_knowsSizes ? job.outputTokens : 1) + job.promptTokens / state.spec().promptChunk;
    return work * state.iterationSeconds(static_cast<std::size_t>(batch));
}

std::optional<std::size_t> BaselineFront::chooseTrueBest(const Job& job, std::optional<std::size_t> avoid)
{
    std::optional<std::size_t> best;
    double bestSeconds = 0;
    for (const std::size_t engine : candidates(job)) {
        const double slots = m_world.engine(engine).spec().slots;
        const double open = job.workClass == WorkClass::Long ? slots * (1 - reservedShortSlots) : slots;
        if (engine == avoid || static_cast<double>(m_assigned[engine]) + 1 > open)
            continue;
        const double seconds = trueSeconds(job, engine);
        if (!best || seconds < bestSeconds) {
            best = engine;
            bestSeconds = seconds;
        }
    }
    return best;
}

void BaselineFront::send(const JobPointer& job, std::size_t engine)
{
    const auto execution = std::make_shared<Execution>();
    execution->job = job;
    execution->engine = engine;
    execution->instance = job->instance;
    execution->number = m_nextNumber++;
    execution->estimate = m_knowsSizes ? job->outputTokens : std::min(job->maxTokens, 200.0);
    execution->priority = m_policy == Policy::Oracle && job->workClass == WorkClass::Long ? 1 : 0;
    m_sent[execution->number] = { execution, m_world.simulator().now() };
    m_copies[job->id].push_back(execution->number);
    m_known[job->instance][engine].own += 1;
    ++m_assigned[engine];
    m_world.send(execution);
}

void BaselineFront::end(const ExecutionPointer& execution)
{
    if (m_sent.erase(execution->number) == 0)
        return;
    std::erase(m_copies[execution->job->id], execution->number);
    m_known[execution->instance][execution->engine].own -= 1;
    --m_assigned[execution->engine];
}

void BaselineFront::onToken(const ExecutionPointer& execution)
{
    const auto found = m_sent.find(execution->number);
    if (found == m_sent.end())
        return;
    found->second.lastToken = m_world.simulator().now();
    if (!execution->isComplete || execution->received < execution->generated)
        return;
    end(execution);
    const std::vector<std::uint64_t> others = m_copies[execution->job->id];
    for (const std::uint64_t number : others) {
        const ExecutionPointer other = m_sent.at(number).execution;
        m_world.cancel(other);
        end(other);
    }
    m_copies.erase(execution->job->id);
    m_world.finish(execution);
    drainQueue();
}

void BaselineFront::onLost(const ExecutionPointer& execution)
{
    if (m_sent.count(execution->number) == 0)
        return;
    end(execution);
    m_known[execution->instance][execution->engine].isUp = false;
    const JobPointer job = execution->job;
    if (!m_copies[job->id].empty() || job->state != JobState::Open)
        return;
    if (execution->isRunning && !job->isIdempotent)
        return m_world.fail(job);
    submit(job);
}

void BaselineFront::onReport(std::size_t instance, std::size_t engine, const EngineReport& report)
{
    Known& known = m_known[instance][engine];
    known.load = report.running + report.queued;
    known.isUp = true;
    known.lastReport = m_world.simulator().now();
}

void BaselineFront::onSlowChanged(std::size_t engine)
{
    std::vector<ExecutionPointer> affected;
    for (const auto& [number, sent] : m_sent) {
        if (sent.execution->engine == engine && sent.execution->job->isIdempotent && m_copies[sent.execution->job->id].size() == 1)
            affected.push_back(sent.execution);
    }
    for (const ExecutionPointer& execution : affected) {
        const auto other = chooseTrueBest(*execution->job, engine);
        if (!other)
            continue;
        const double left = static_cast<double>(execution->job->outputTokens - execution->generated);
        const double here = left * m_world.engine(engine).iterationSeconds(m_assigned[engine]);
        if (trueSeconds(*execution->job, *other) < here)
            send(execution->job, *other);
    }
}

void BaselineFront::tick()
{
    const TimePoint now = m_world.simulator().now();
    for (auto& instance : m_known) {
        for (Known& known : instance)
            known.isUp = known.isUp && (known.lastReport == TimePoint {} || inSeconds(now - known.lastReport) < leaseSeconds);
    }
    std::vector<ExecutionPointer> silent;
    for (const auto& [number, sent] : m_sent) {
        const bool isKnownSilent = m_policy == Policy::Oracle && sent.execution->isSilent;
        if (isKnownSilent || inSeconds(now - sent.lastToken) > silenceSeconds)
            silent.push_back(sent.execution);
    }
    for (const ExecutionPointer& execution : silent) {
        m_sent.at(execution->number).lastToken = now;
        m_world.resolve(execution);
    }
    drainQueue();
}

}
