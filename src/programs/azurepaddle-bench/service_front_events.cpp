#include "service_front.hpp"

#include <algorithm>

namespace azurepaddle::bench {

namespace {

    constexpr double leaseSeconds = 3; // Of an endpoint's announcement.
    constexpr Duration sampleRetry = std::chrono::seconds(1);

    EndpointId endpointOf(std::size_t engine)
    {
        return EndpointId("e" + std::to_string(engine));
    }

}

void ServiceFront::onLost(const ExecutionPointer& execution)
{
    const auto found = m_sent.find(execution->number);
    if (found == m_sent.end())
        return;
    onEngineLost(execution->instance, execution->engine);
    Instance& instance = *m_instances[execution->instance];
    instance.router.onFailed(found->second.attempt);
    instance.limiter.onEnded(endpointOf(execution->engine));
    m_numbers.erase({ execution->instance, found->second.attempt });
    m_sent.erase(found);
    const auto entry = m_requests.find(execution->owner);
    if (entry == m_requests.end())
        return;
    Request& request = *entry->second;
    std::erase(request.copies, execution->number);
    if (execution->isRunning)
        ++m_crashes[fingerprintOf(*request.job)];
    endTrial(request);
    if (request.copies.empty())
        retry(request, execution->isRunning);
}

void ServiceFront::onEngineLost(std::size_t instance, std::size_t engine)
{
    Instance& state = *m_instances[instance];
    state.router.remove(endpointOf(engine));
    state.lastReport[engine] = m_world.simulator().now();
    state.isKnown[engine] = false;
    (void)state.suspects.onEndpointFailed(endpointOf(engine));
}

void ServiceFront::retry(Request& request, bool hasRun)
{
    const JobPointer job = request.job;
    Instance& instance = *m_instances[job->instance];
    const auto fail = [&] {
        instance.admission.onFailed(request.ticket, 0);
        m_requests.erase(request.key);
        m_world.fail(job);
    };
    if (!hasRun)
        return instance.admission.requeue(request.ticket);
    if (!job->isIdempotent || m_crashes[fingerprintOf(*job)] >= 2)
        return fail();
    if (instance.retries.tryAcquire(request.ticket.tenant)) {
        ++m_world.result().retries;
        return instance.admission.requeue(request.ticket);
    }
    if (!job->trainer)
        return fail();
    // A sample is wanted whatever happens: it waits until the budget has grown.
    m_world.simulator().after(sampleRetry, [this, &request] { retry(request, true); });
}

void ServiceFront::startTrials()
{
    const TimePoint now = m_world.simulator().now();
    const std::deque<std::uint64_t> waiting = std::move(m_trials);
    m_trials.clear();
    for (const std::uint64_t key : waiting) {
        const auto found = m_requests.find(key);
        if (found == m_requests.end())
            continue;
        Request& request = *found->second;
        if (request.ticket.deadline && *request.ticket.deadline <= now) {
            const JobPointer job = request.job;
            m_requests.erase(found);
            job->starts > 0 ? m_world.fail(job) : m_world.refuse(job);
        } else if (!startTrial(request)) {
            m_trials.push_back(key);
        }
    }
}

bool ServiceFront::startTrial(Request& request)
{
    // An endpoint runs one suspect at a time, and a suspect runs once at a time, over all instances. So a second crash
    // names the request that caused it.
    std::vector<EndpointId> busy;
    for (const auto& [key, engine] : m_trialEngines) {
        if (fingerprintOf(*m_requests.at(key)->job) == fingerprintOf(*request.job))
            return false;
        busy.push_back(endpointOf(engine));
    }
    if (!sendTo(request, busy))
        return false;
    m_trialEngines[request.key] = m_sent.at(request.copies.back()).execution->engine;
    return true;
}

void ServiceFront::endTrial(const Request& request)
{
    m_trialEngines.erase(request.key);
}

void ServiceFront::onReport(std::size_t instance, std::size_t engine, const EngineReport& report)
{
    Instance& state = *m_instances[instance];
    if (report.time <= state.lastReport[engine] && state.lastReport[engine] != TimePoint {})
        return;
    state.lastReport[engine] = report.time;
    state.isKnown[engine] = true;
    routing::EndpointView view;
    view.id = endpointOf(engine);
    view.service = serviceName(m_world.serviceOf(engine));
    view.dataCentre = DataCentreName("d" + std::to_string(engine % m_world.deployment().dataCentres));
    view.slots = m_world.engine(engine).spec().slots;
    view.running = report.running;
    view.queued = report.queued;
    view.outstandingTokens = report.outstandingTokens;
    view.reportTime = report.time;
    view.versions = { report.version };
    view.cachedPrefixes = report.cachedPrefixes;
    state.router.update(view);
    dispatch(instance, m_world.serviceOf(engine));
}

void ServiceFront::tick()
{
    const TimePoint now = m_world.simulator().now();
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        Instance& instance = *m_instances[i];
        for (std::size_t engine = 0; engine < instance.lastReport.size(); ++engine) {
            if (instance.isKnown[engine] && inSeconds(now - instance.lastReport[engine]) > leaseSeconds) {
                instance.isKnown[engine] = false;
                instance.router.remove(endpointOf(engine));
            }
        }
        for (const routing::SlowAttempt& slow : instance.router.tick())
            hedge(i, slow);
        expire(i);
        for (std::size_t service = 0; service < m_world.deployment().services.size(); ++service)
            dispatch(i, service);
    }
    checkSilence();
    startTrials();
}

void ServiceFront::expire(std::size_t instance)
{
    for (std::size_t service = 0; service < m_world.deployment().services.size(); ++service) {
        for (const auto& [ticket, refusal] : m_instances[instance]->admission.expire(serviceName(service))) {
            const auto found = m_requests.find((static_cast<std::uint64_t>(instance) << 40U) + ticket.id);
            const JobPointer job = found->second->job;
            m_requests.erase(found);
            job->starts > 0 ? m_world.fail(job) : m_world.refuse(job);
        }
    }
}

void ServiceFront::hedge(std::size_t instance, const routing::SlowAttempt& slow)
{
    const auto number = m_numbers.find({ instance, slow.attempt });
    if (number == m_numbers.end())
        return;
    Request& request = *m_requests.at(m_sent.at(number->second).execution->owner);
    const Job& job = *request.job;
    Instance& state = *m_instances[instance];
    const double left = std::max(1.0, request.ticket.size.outputTokens - slow.receivedTokens);
    const double gap = std::max(inSeconds(slow.timeSinceLastToken), slow.receivedTokens > 0 ? inSeconds(slow.timeSinceSent) / slow.receivedTokens : inSeconds(slow.timeSinceSent));
    admission::HedgeCandidate candidate;
    candidate.tenant = request.ticket.tenant;
    candidate.isIdempotent = job.isIdempotent;
    candidate.isSuspect = state.suspects.isSuspect(fingerprintOf(job));
    candidate.hasCopy = request.copies.size() > 1;
    candidate.utilisation = utilisation(instance);
    candidate.remainingSeconds = left * gap;
    candidate.copySeconds = request.ticket.size.outputTokens * inSeconds(state.router.medianInterTokenLatency(request.ticket.service));
    if (candidate.hasCopy || !state.hedge.allow(candidate))
        return;
    if (sendTo(request, { slow.endpoint }))
        ++m_world.result().hedges;
}

double ServiceFront::utilisation(std::size_t instance) const
{
    double requests = 0;
    double slots = 0;
    for (std::size_t engine = 0; engine < m_world.deployment().services.front().endpoints; ++engine) {
        if (!m_instances[instance]->isKnown[engine])
            continue;
        requests += m_instances[instance]->router.load(endpointOf(engine)).requests;
        slots += m_world.engine(engine).spec().slots;
    }
    return slots > 0 ? requests / slots : 1;
}

void ServiceFront::checkSilence()
{
    const TimePoint now = m_world.simulator().now();
    for (auto& [number, sent] : m_sent) {
        const Duration deadline = m_instances[sent.execution->instance]->router.progressDeadline(sent.attempt);
        if (now - sent.lastToken < deadline || deadline == Duration {})
            continue;
        sent.lastToken = now;
        m_world.resolve(sent.execution);
    }
}

void ServiceFront::exchange()
{
    for (std::size_t service = 0; service < m_world.deployment().services.size(); ++service) {
        std::vector<std::vector<admission::InstanceDemand>> demands;
        for (const auto& instance : m_instances)
            demands.push_back(instance->admission.takeDemands(serviceName(service)));
        m_world.simulator().after(fromSeconds(2 * m_world.deployment().instanceDelay), [this, service, demands] { applyShares(service, demands); });
    }
}

void ServiceFront::applyShares(std::size_t service, const std::vector<std::vector<admission::InstanceDemand>>& demands)
{
    for (std::size_t i = 0; i < m_instances.size(); ++i)
        m_instances[i]->admission.correctCredits(serviceName(service), demands, i);
    if (service != 0)
        return;
    const std::vector<double> all = admission::instanceFractions(demands);
    const std::vector<double> longWork = admission::longInstanceFractions(demands);
    double begin = 0;
    double longBegin = 0;
    const auto mix = [this](const routing::SlotRange& old, double fraction) { return old.end - old.begin + m_settings.shareSmoothing * (fraction - (old.end - old.begin)); };
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        Instance& instance = *m_instances[i];
        const double part = mix(instance.share.slots, all[i]);
        const double longPart = mix(instance.share.longWorkSlots, longWork[i]);
        const bool isLast = i + 1 == m_instances.size();
        instance.share.slots = { begin, isLast ? 1 : begin + part };
        instance.share.longWorkSlots = { longBegin, isLast ? 1 : longBegin + longPart };
        instance.share.trafficFraction = std::max(0.01, part);
        begin += part;
        longBegin += longPart;
        instance.router.setShare(instance.share);
    }
}

}
