#include "service_front.hpp"

#include <algorithm>

namespace azurepaddle::bench {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(25);
    constexpr Duration exchangeInterval = std::chrono::seconds(1);
    constexpr std::size_t maxSampleQueue = 100000; // Trainers submit whole steps.
    constexpr std::uint64_t ticketsPerInstance = 1ULL << 40U;

    EndpointId endpointOf(std::size_t engine)
    {
        return EndpointId("e" + std::to_string(engine));
    }

    std::size_t engineOf(const EndpointId& endpoint)
    {
        return std::stoul(endpoint.value().substr(1));
    }

    DataCentreName dataCentreOf(const World& world, std::size_t index)
    {
        return DataCentreName("d" + std::to_string(index % world.deployment().dataCentres));
    }

}

ServiceFront::Instance::Instance(const ManualClock& clock, const ServiceSettings& settings, std::size_t index, const DataCentreName& here)
    : admission(clock, settings.admission)
    , router(clock, Random(900 + index), here, settings.router)
    , hedge(settings.hedge)
{
}

ServiceFront::ServiceFront(World& world, const ServiceSettings& settings)
    : m_world(world)
    , m_settings(settings)
{
    m_settings.admission.defaultPolicy.maxQueued = maxSampleQueue;
    for (std::size_t i = 0; i < world.deployment().instances; ++i) {
        m_instances.push_back(std::make_unique<Instance>(world.simulator().clock(), m_settings, i, dataCentreOf(world, i)));
        Instance& instance = *m_instances.back();
        instance.lastReport.resize(world.engineCount());
        instance.isKnown.resize(world.engineCount());
        const double part = 1.0 / static_cast<double>(world.deployment().instances);
        const routing::SlotRange slots { part * static_cast<double>(i), part * static_cast<double>(i + 1) };
        instance.share = { slots, slots, part };
        instance.router.setShare(instance.share);
    }
}

void ServiceFront::start()
{
    Front front;
    front.submit = [this](const JobPointer& job) { submit(job); };
    front.token = [this](const ExecutionPointer& execution) { onToken(execution); };
    front.lost = [this](const ExecutionPointer& execution) { onLost(execution); };
    front.report = [this](std::size_t instance, std::size_t engine, const EngineReport& report) { onReport(instance, engine, report); };
    m_world.setFront(std::move(front));
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        for (std::size_t engine = 0; engine < m_world.engineCount(); ++engine)
            onReport(i, engine, m_world.engine(engine).report());
    }
    m_world.simulator().every(tickInterval, [this] { tick(); });
    m_world.simulator().every(exchangeInterval, [this] { exchange(); });
}

void ServiceFront::submit(const JobPointer& job)
{
    Instance& instance = *m_instances[job->instance];
    if (!job->fingerprint.empty() && m_crashes[fingerprintOf(*job)] >= 2)
        return m_world.refuse(job);
    admission::RequestProfile profile;
    profile.tenant = TenantName(m_world.tenants()[job->tenant]);
    profile.run = RunName(job->trainer ? "run" : "");
    profile.service = serviceName(job->service);
    profile.promptTokens = job->promptTokens;
    profile.maxTokens = job->maxTokens;
    profile.bytes = static_cast<std::uint64_t>(4 * job->promptTokens);
    if (job->timeout)
        profile.deadline = m_world.simulator().now() + *job->timeout;
    if (job->trainer)
        profile.workClass = job->workClass;
    const auto ticket = instance.admission.admit(profile);
    if (!ticket)
        return m_world.refuse(job);
    instance.hedge.onRequest(profile.tenant);
    instance.retries.onRequest(profile.tenant);
    const admission::TicketId key = job->instance * ticketsPerInstance + ticket->id;
    m_requests[key] = std::make_unique<Request>(Request { key, job, *ticket, {} });
    dispatch(job->instance, job->service);
}

void ServiceFront::dispatch(std::size_t instance, std::size_t service)
{
    admission::AllowedClasses allowed;
    while (allowed.shortWork || allowed.longWork) {
        if (!sendNext(instance, service, allowed))
            return;
    }
}

bool ServiceFront::sendNext(std::size_t instance, std::size_t service, admission::AllowedClasses& allowed)
{
    Controller& controller = m_instances[instance]->admission;
    const auto ticket = controller.next(serviceName(service), allowed);
    if (!ticket)
        return false;
    const std::uint64_t key = instance * ticketsPerInstance + ticket->id;
    Request& request = *m_requests.at(key);
    if (m_instances[instance]->suspects.isSuspect(fingerprintOf(*request.job))) {
        m_trials.push_back(key);
        startTrials();
        return true;
    }
    if (sendTo(request, {}))
        return true;
    controller.requeue(*ticket);
    (ticket->size.workClass == WorkClass::Short ? allowed.shortWork : allowed.longWork) = false;
    return true;
}

routing::RequestProfile ServiceFront::profileOf(const Request& request) const
{
    const Job& job = *request.job;
    routing::RequestProfile profile;
    profile.service = request.ticket.service;
    profile.workClass = request.ticket.size.workClass;
    profile.promptTokens = job.promptTokens;
    profile.outputTokens = request.ticket.size.outputTokens;
    profile.prefixes = job.prefixes;
    profile.tokensPerPrefix = job.tokensPerPrefix;
    return profile;
}

bool ServiceFront::sendTo(Request& request, const std::vector<EndpointId>& avoid)
{
    const JobPointer& job = request.job;
    Instance& instance = *m_instances[job->instance];
    routing::RequestProfile profile = profileOf(request);
    profile.avoidedEndpoints = avoid;
    const auto endpoint = instance.router.choose(profile, [&](const EndpointId& id) { return instance.limiter.hasCapacity(id); });
    if (!endpoint)
        return false;
    const auto execution = std::make_shared<Execution>();
    execution->job = job;
    execution->engine = engineOf(*endpoint);
    execution->instance = job->instance;
    execution->number = m_nextNumber++;
    execution->owner = request.key;
    execution->priority = profile.workClass == WorkClass::Short ? 0 : 1;
    execution->estimate = profile.outputTokens;
    const routing::AttemptId attempt = instance.router.onSent(profile, *endpoint);
    instance.limiter.onSent(*endpoint);
    instance.suspects.onSent(fingerprintOf(*job), *endpoint);
    const TimePoint now = m_world.simulator().now();
    m_sent[execution->number] = { execution, attempt, now, now };
    m_numbers[{ job->instance, attempt }] = execution->number;
    request.copies.push_back(execution->number);
    m_world.send(execution);
    return true;
}

void ServiceFront::onToken(const ExecutionPointer& execution)
{
    const auto found = m_sent.find(execution->number);
    if (found == m_sent.end())
        return;
    Sent& sent = found->second;
    Instance& instance = *m_instances[execution->instance];
    const TimePoint now = m_world.simulator().now();
    if (execution->received == 1)
        instance.limiter.onFirstToken(endpointOf(execution->engine), now - sent.sent);
    instance.router.onToken(sent.attempt);
    sent.lastToken = now;
    if (execution->isComplete && execution->received == execution->generated)
        onFinished(execution);
}

void ServiceFront::onFinished(const ExecutionPointer& execution)
{
    Instance& instance = *m_instances[execution->instance];
    const auto found = m_requests.find(execution->owner);
    Request request = *found->second;
    m_requests.erase(found);
    const Duration runTime = m_world.simulator().now() - m_sent.at(execution->number).sent;
    instance.admission.onFinished(request.ticket, execution->job->outputTokens, runTime);
    endCopies(request);
    if (instance.suspects.isSuspect(fingerprintOf(*request.job))) {
        instance.suspects.clear(fingerprintOf(*request.job));
        m_crashes.erase(fingerprintOf(*request.job));
        endTrial(request);
    }
    m_world.finish(execution);
    dispatch(execution->instance, execution->job->service);
}

void ServiceFront::endCopies(Request& request)
{
    for (const std::uint64_t number : request.copies) {
        const Sent sent = m_sent.at(number);
        Instance& instance = *m_instances[sent.execution->instance];
        const EndpointId endpoint = endpointOf(sent.execution->engine);
        sent.execution->isComplete ? instance.router.onFinished(sent.attempt) : instance.router.onFailed(sent.attempt);
        instance.limiter.onEnded(endpoint);
        instance.suspects.onEnded(fingerprintOf(*sent.execution->job), endpoint);
        if (!sent.execution->isComplete && !sent.execution->isLost)
            m_world.cancel(sent.execution);
        m_numbers.erase({ sent.execution->instance, sent.attempt });
        m_sent.erase(number);
    }
    request.copies.clear();
}

routing::Fingerprint ServiceFront::fingerprintOf(const Job& job) const
{
    return routing::Fingerprint(job.fingerprint.empty() ? std::to_string(job.id) : job.fingerprint);
}

}
