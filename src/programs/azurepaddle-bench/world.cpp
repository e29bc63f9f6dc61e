#include "world.hpp"

#include <algorithm>

namespace azurepaddle::bench {

namespace {

    constexpr double windowSeconds = 10;
    constexpr double unansweredSeconds = 90;
    constexpr double sameDataCentreDelay = 0.0001;

}

World::World(const DeploymentSpec& deployment, const ScenarioSpec& scenario, const RunOptions& options)
    : m_deployment(deployment)
    , m_scenario(scenario)
    , m_options(options)
    , m_random(options.seed * 7919 + 1)
{
    m_result.scenario = scenario.name;
    for (const StreamSpec& stream : scenario.streams)
        (void)tenantIndex(stream.tenant);
    for (const TrainerSpec& trainer : scenario.trainers)
        (void)tenantIndex(trainer.tenant);
    (void)tenantIndex("plain");
    addEngines();
}

void World::addEngines()
{
    for (std::size_t service = 0; service < m_deployment.services.size(); ++service) {
        const ServiceSpec& spec = m_deployment.services[service];
        for (std::size_t i = 0; i < spec.endpoints; ++i) {
            m_engines.push_back(std::make_unique<Engine>(
                m_simulator, spec.engine, [this](const auto& executions) { onOutput(executions); },
                [this](const ExecutionPointer& execution) { onLost(execution); }));
            m_serviceOf.push_back(service);
        }
    }
    m_open.resize(m_engines.size());
    m_isDownByFault.resize(m_engines.size());
}

std::size_t World::tenantIndex(const std::string& name)
{
    const auto found = std::find(m_tenants.begin(), m_tenants.end(), name);
    if (found != m_tenants.end())
        return static_cast<std::size_t>(found - m_tenants.begin());
    m_tenants.push_back(name);
    m_windowTokens.push_back(0);
    return m_tenants.size() - 1;
}

double World::delay(std::size_t instance, std::size_t engine) const
{
    const bool isSame = instance % m_deployment.dataCentres == engine % m_deployment.dataCentres;
    return isSame ? sameDataCentreDelay : m_deployment.instanceDelay;
}

void World::start()
{
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        m_simulator.after(fromSeconds(m_random.uniform()), [this, i] {
            publishReport(i);
            m_simulator.every(std::chrono::seconds(1), [this, i] { publishReport(i); });
        });
    }
    m_simulator.every(fromSeconds(windowSeconds), [this] { closeWindow(); });
}

void World::publishReport(std::size_t engine)
{
    if (!m_engines[engine]->isAlive())
        return;
    EngineReport report = m_engines[engine]->report();
    // One report in five comes without cache events.
    if (m_random.chance(0.2))
        report.cachedPrefixes.clear();
    for (std::size_t instance = 0; instance < m_deployment.instances; ++instance) {
        const double lag = 0.2 + 0.7 * m_random.uniform();
        m_simulator.after(fromSeconds(lag), [this, instance, engine, report] { m_front.report(instance, engine, report); });
    }
}

void World::arrive(const JobPointer& job)
{
    job->arrival = m_simulator.now();
    m_jobs.push_back(job);
    m_front.submit(job);
}

void World::send(const ExecutionPointer& execution)
{
    auto& open = m_open[execution->engine];
    open.push_back(execution);
    if (open.size() > 256)
        std::erase_if(open, [](const auto& entry) { return entry->isComplete || entry->isCancelled || entry->isLost; });
    m_simulator.after(fromSeconds(delay(execution->instance, execution->engine)), [this, execution] {
        if (!execution->isCancelled)
            m_engines[execution->engine]->submit(execution);
    });
}

void World::cancel(const ExecutionPointer& execution)
{
    m_simulator.after(fromSeconds(delay(execution->instance, execution->engine)), [this, execution] { m_engines[execution->engine]->cancel(execution); });
    execution->isCancelled = true;
}

void World::onOutput(const std::vector<ExecutionPointer>& executions)
{
    std::vector<Delivery> near;
    std::vector<Delivery> far;
    for (const ExecutionPointer& execution : executions) {
        m_windowTokens[execution->job->tenant] += 1;
        const bool isNear = delay(execution->instance, execution->engine) < m_deployment.instanceDelay;
        (isNear ? near : far).push_back({ execution, execution->generated, execution->spans.back() });
    }
    if (!near.empty())
        m_simulator.after(fromSeconds(sameDataCentreDelay), [this, near] { deliver(near); });
    if (!far.empty())
        m_simulator.after(fromSeconds(m_deployment.instanceDelay), [this, far] { deliver(far); });
}

void World::deliver(const std::vector<Delivery>& deliveries)
{
    for (const Delivery& delivery : deliveries) {
        if (!delivery.execution->isSilent && !delivery.execution->isCancelled)
            takeOver(delivery);
    }
}

void World::takeOver(const Delivery& delivery)
{
    Execution& execution = *delivery.execution;
    if (delivery.generated <= execution.received)
        return;
    execution.received = delivery.generated;
    if (execution.label.empty() || execution.label.back() != delivery.version)
        execution.label.push_back(delivery.version);
    Job& job = *execution.job;
    if (!job.firstToken)
        job.firstToken = m_simulator.now();
    m_front.token(delivery.execution);
}

void World::onLost(const ExecutionPointer& execution)
{
    if (execution->job->crashesEndpoint && execution->generated > 0)
        ++m_result.endpointsLostToRequest;
    m_simulator.after(fromSeconds(delay(execution->instance, execution->engine)), [this, execution] {
        if (!execution->isCancelled)
            m_front.lost(execution);
    });
}

void World::resolve(const ExecutionPointer& execution)
{
    const double roundTrip = 4 * delay(execution->instance, execution->engine); // A new connection and a question.
    m_simulator.after(fromSeconds(roundTrip), [this, execution] {
        if (execution->isCancelled || execution->isLost)
            return;
        execution->isSilent = false;
        if (execution->generated <= execution->received)
            return;
        execution->label = execution->spans;
        takeOver({ execution, execution->generated, execution->spans.back() });
    });
}

void World::finish(const ExecutionPointer& execution)
{
    Job& job = *execution->job;
    ++job.answers;
    const bool isWhole = execution->received == job.outputTokens && execution->isComplete;
    if (job.answers > 1 || job.state != JobState::Open || !isWhole)
        ++m_result.violations.wrongAnswer;
    job.state = JobState::Finished;
    job.finished = m_simulator.now();
    if (!job.isIdempotent && job.starts > 1)
        ++m_result.violations.ranTwice;
    if (job.trainer && m_sampleSink)
        return m_sampleSink(job, *execution);
    if (inSeconds(job.arrival.time_since_epoch()) - 1 >= m_options.warmUp)
        recordFinished(job);
}

void World::recordFinished(const Job& job)
{
    const double latency = inSeconds(job.finished - job.arrival) + 2 * m_deployment.clientDelay;
    if (job.service != 0)
        return m_result.plainLatency.push_back(latency);
    if (job.workClass == WorkClass::Long)
        return m_result.longLatency.push_back(latency);
    m_result.shortLatency.push_back(latency);
    m_result.shortWait.push_back(inSeconds(*job.firstToken - job.arrival));
    m_shortHistogram.record(fromSeconds(latency));
}

void World::refuse(const JobPointer& job)
{
    if (job->starts > 0)
        ++m_result.violations.notRunRan;
    job->state = JobState::Refused;
    ++job->answers;
    ++m_result.refused;
    if (m_refusedSink)
        m_refusedSink(job);
}

void World::fail(const JobPointer& job)
{
    if (!job->isIdempotent && job->starts > 1)
        ++m_result.violations.ranTwice;
    job->state = JobState::Failed;
    ++job->answers;
    ++m_result.failed;
    if (m_refusedSink)
        m_refusedSink(job);
}

void World::setSlow(std::size_t engine, double factor)
{
    m_engines[engine]->setSlow(factor);
    if (m_front.slowChanged)
        m_front.slowChanged(engine);
}

void World::crash(std::size_t engine, double downSeconds)
{
    if (!m_engines[engine]->isAlive())
        return;
    m_engines[engine]->crash();
    m_isDownByFault[engine] = true;
    m_simulator.after(fromSeconds(downSeconds), [this, engine] {
        m_isDownByFault[engine] = false;
        m_engines[engine]->restart();
    });
}

void World::restartAll()
{
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        if (!m_engines[i]->isAlive() && !m_isDownByFault[i])
            m_engines[i]->restart();
    }
}

void World::silence(std::size_t instance, std::size_t engine)
{
    for (const ExecutionPointer& execution : m_open[engine]) {
        if (execution->instance == instance)
            execution->isSilent = true;
    }
}

void World::swap(std::size_t engine, WeightVersion version, double pause)
{
    m_engines[engine]->swap(version, fromSeconds(pause));
}

void World::closeWindow()
{
    double total = 0;
    for (const StreamSpec& stream : m_scenario.streams)
        total += m_windowTokens[tenantIndex(stream.tenant)];
    const double fair = total / static_cast<double>(std::max<std::size_t>(1, m_scenario.streams.size()));
    if (m_scenario.measuresShares && m_simulator.seconds() > m_options.warmUp + windowSeconds && fair > 0) {
        double& lowest = m_result.lowestShare;
        for (const StreamSpec& stream : m_scenario.streams) {
            const double share = m_windowTokens[tenantIndex(stream.tenant)] / fair;
            lowest = lowest == 0 ? share : std::min(lowest, share);
        }
    }
    std::fill(m_windowTokens.begin(), m_windowTokens.end(), 0);
}

void World::complete()
{
    for (const JobPointer& job : m_jobs) {
        const double age = inSeconds(m_simulator.now() - job->arrival);
        if (job->state == JobState::Open && !job->trainer && age > unansweredSeconds)
            ++m_result.violations.unanswered;
    }
    constexpr std::uint64_t maxEndpointsLost = 2;
    m_result.violations.endpointsLost = m_result.endpointsLostToRequest - std::min(m_result.endpointsLostToRequest, maxEndpointsLost);
    m_result.shortHistogram = m_shortHistogram.snapshot();
}

}
