#include "load.hpp"

#include <algorithm>
#include <cmath>

namespace azurepaddle::bench {

namespace {

    constexpr double shortPromptTokens = 300;
    constexpr double prefixTokens = 256;
    constexpr std::uint64_t prefixesPerTenant = 8;
    constexpr double samplePromptTokens = 400;
    constexpr double promptTokenCost = 1.0 / 16;
    constexpr std::size_t maxCrashingRepeats = 20;

    /// A number with this mean whose logarithm is normally distributed, within a fifth and five times the mean.
    double logNormal(Random& random, double mean, double deviation)
    {
        const double angle = 2 * 3.141592653589793 * random.uniform();
        const double normal = std::sqrt(-2 * std::log1p(-random.uniform())) * std::cos(angle);
        return std::clamp(mean * std::exp(deviation * normal - deviation * deviation / 2), mean / 5, mean * 5);
    }

}

Load::Load(World& world)
    : m_world(world)
{
    const ScenarioSpec& scenario = world.scenario();
    for (std::size_t i = 0; i < scenario.streams.size() + 2; ++i)
        m_randoms.emplace_back(world.options().seed * 1000 + i);
    for (std::size_t i = 0; i < scenario.trainers.size(); ++i) {
        Trainer trainer;
        trainer.spec = scenario.trainers[i];
        trainer.tenant = world.tenantIndex(trainer.spec.tenant);
        trainer.instance = (2 * i + 1) % world.deployment().instances;
        m_trainers.push_back(trainer);
    }
}

double Load::capacity() const
{
    const ServiceSpec& service = m_world.deployment().services.front();
    const double slots = service.engine.slots;
    return static_cast<double>(service.endpoints) * slots / (service.engine.baseSeconds + service.engine.secondsPerRequest * slots);
}

void Load::start()
{
    m_world.setSampleSink([this](const Job& job, const Execution& execution) { onSample(job, execution); });
    m_world.setRefusedSink([this](const JobPointer& job) { onNotFinished(*job); });
    for (std::size_t i = 0; i < m_world.scenario().streams.size(); ++i)
        startStream(i);
    arrivePlain(m_randoms[m_randoms.size() - 2]);
    for (std::size_t i = 0; i < m_trainers.size(); ++i) {
        m_trainers[i].freeSince = m_world.simulator().now();
        submitStep(i, 0);
        submitStep(i, 1);
    }
    if (m_world.scenario().hasCrashingRequest)
        startCrashingCaller();
}

void Load::startStream(std::size_t index)
{
    const StreamSpec& stream = m_world.scenario().streams[index];
    const double cost = stream.meanOutput + promptTokenCost * shortPromptTokens;
    const double interval = cost / (stream.load * capacity());
    Random& random = m_randoms[index];
    m_world.simulator().after(fromSeconds(random.exponential(interval)), [this, index, &random] {
        arriveApplication(index, random);
        startStream(index);
    });
}

void Load::arriveApplication(std::size_t index, Random& random)
{
    const StreamSpec& stream = m_world.scenario().streams[index];
    const auto job = std::make_shared<Job>();
    job->id = m_nextJob++;
    job->tenant = m_world.tenantIndex(stream.tenant);
    job->workClass = stream.workClass;
    job->promptTokens = prefixTokens + logNormal(random, shortPromptTokens - prefixTokens / 2, 0.5);
    job->outputTokens = static_cast<std::uint32_t>(std::max(1.0, logNormal(random, stream.meanOutput, 0.6)));
    job->maxTokens = 5 * stream.meanOutput;
    job->prefixes = { (job->tenant << 32U) + random.below(prefixesPerTenant) };
    job->tokensPerPrefix = prefixTokens;
    const std::size_t instance = random.below(m_world.deployment().instances);
    job->instance = stream.instance.value_or(instance);
    job->timeout = std::chrono::seconds(stream.workClass == WorkClass::Short ? 30 : 240);
    m_world.arrive(job);
}

void Load::arrivePlain(Random& random)
{
    m_world.simulator().after(fromSeconds(random.exponential(1 / m_world.scenario().plainRate)), [this, &random] {
        const auto job = std::make_shared<Job>();
        job->id = m_nextJob++;
        job->tenant = m_world.tenantIndex("plain");
        job->service = 1;
        job->promptTokens = 20;
        job->outputTokens = 1 + static_cast<std::uint32_t>(random.below(8));
        job->maxTokens = 8;
        job->isIdempotent = !random.chance(0.25);
        job->instance = random.below(m_world.deployment().instances);
        job->timeout = std::chrono::seconds(10);
        m_world.arrive(job);
        arrivePlain(random);
    });
}

void Load::startCrashingCaller()
{
    const auto repeats = std::make_shared<std::size_t>(0);
    const auto arrive = [this, repeats] {
        const auto job = std::make_shared<Job>();
        job->id = m_nextJob++;
        job->tenant = 0;
        job->promptTokens = 100;
        job->outputTokens = 40;
        job->maxTokens = 300;
        job->crashesEndpoint = true;
        job->fingerprint = "crashing";
        job->instance = *repeats % m_world.deployment().instances;
        job->timeout = std::chrono::seconds(30);
        ++*repeats;
        m_world.arrive(job);
    };
    m_crashingCaller = [this, repeats, arrive] {
        if (*repeats < maxCrashingRepeats)
            m_world.simulator().after(std::chrono::seconds(1), arrive);
    };
    m_world.simulator().after(fromSeconds(m_world.options().warmUp + 5), arrive);
}

JobPointer Load::makeSample(std::size_t trainer, std::size_t step, std::size_t index, std::size_t generation)
{
    const Trainer& state = m_trainers[trainer];
    const std::size_t group = index / state.spec.groupSize;
    // The size depends on the sample only, not on when it is generated.
    Random random(m_world.options().seed * 1000003 + (trainer * 100000 + step) * 1000 + index * 7 + generation * 1000000007);
    auto job = std::make_shared<Job>();
    job->id = m_nextJob++;
    job->tenant = state.tenant;
    job->trainer = trainer;
    job->step = step;
    job->instance = state.instance;
    job->workClass = WorkClass::Long;
    job->promptTokens = samplePromptTokens;
    job->outputTokens = static_cast<std::uint32_t>(logNormal(random, state.spec.meanOutput, 0.7));
    if (m_world.scenario().hasStragglers && random.chance(0.02))
        job->outputTokens *= 8;
    job->maxTokens = 8 * state.spec.meanOutput;
    job->outputTokens = std::min(job->outputTokens, static_cast<std::uint32_t>(job->maxTokens));
    job->prefixes = { (1ULL << 60U) + (trainer << 40U) + (step << 16U) + group };
    job->tokensPerPrefix = samplePromptTokens;
    return job;
}

void Load::submitStep(std::size_t trainer, std::size_t step)
{
    Trainer& state = m_trainers[trainer];
    Step& entry = state.steps[step];
    entry.missing = state.spec.samplesPerStep;
    entry.oldest.assign(entry.missing, 0);
    for (std::size_t i = 0; i < state.spec.samplesPerStep; ++i)
        entry.jobs.push_back(makeSample(trainer, step, i, 0));
    const std::vector<JobPointer> jobs = entry.jobs;
    for (const JobPointer& job : jobs)
        m_world.arrive(job);
}

void Load::onSample(const Job& job, const Execution& execution)
{
    Violations& violations = m_world.result().violations;
    Trainer& trainer = m_trainers[*job.trainer];
    if (!trainer.received.insert(job.id).second)
        ++violations.sampleTwice;
    if (execution.label != execution.spans)
        ++violations.sampleMislabelled;
    Step& step = trainer.steps[job.step];
    const auto found = std::find_if(step.jobs.begin(), step.jobs.end(), [&](const JobPointer& other) { return other->id == job.id; });
    if (found == step.jobs.end()) {
        ++violations.sampleTwice;
        return;
    }
    step.oldest[static_cast<std::size_t>(found - step.jobs.begin())] = *std::min_element(execution.label.begin(), execution.label.end());
    --step.missing;
    tryTrain(*job.trainer);
}

void Load::onNotFinished(const Job& job)
{
    if (job.crashesEndpoint && m_crashingCaller)
        m_crashingCaller();
    if (!job.trainer)
        return;
    // The trainer was told and asks for another sample in its place.
    Step& step = m_trainers[*job.trainer].steps[job.step];
    const auto found = std::find_if(step.jobs.begin(), step.jobs.end(), [&](const JobPointer& other) { return other->id == job.id; });
    if (found == step.jobs.end())
        return;
    *found = makeSample(*job.trainer, job.step, static_cast<std::size_t>(found - step.jobs.begin()), job.id);
    const JobPointer replacement = *found;
    m_world.simulator().after(std::chrono::seconds(1), [this, replacement] { m_world.arrive(replacement); });
}

void Load::tryTrain(std::size_t index)
{
    Trainer& trainer = m_trainers[index];
    Step& step = trainer.steps[trainer.current];
    if (trainer.isTraining || step.missing > 0 || discardStale(index, step))
        return;
    train(index, step);
}

bool Load::discardStale(std::size_t index, Step& step)
{
    const Trainer& trainer = m_trainers[index];
    std::vector<JobPointer> again;
    for (std::size_t i = 0; i < step.oldest.size(); ++i) {
        if (m_version - step.oldest[i] <= trainer.spec.stalenessBound)
            continue;
        step.oldest[i] = 0;
        ++step.missing;
        ++m_world.result().staleDiscarded;
        step.jobs[i] = makeSample(index, trainer.current, i, m_version);
        again.push_back(step.jobs[i]);
    }
    for (const JobPointer& job : again)
        m_world.arrive(job);
    return !again.empty();
}

void Load::train(std::size_t index, Step& step)
{
    Trainer& trainer = m_trainers[index];
    Result& result = m_world.result();
    const TimePoint now = m_world.simulator().now();
    for (const WeightVersion oldest : step.oldest) {
        if (m_version - oldest > trainer.spec.stalenessBound)
            ++result.violations.sampleStale;
        m_stalenessSum += static_cast<double>(m_version - oldest);
    }
    result.samples += step.oldest.size();
    if (m_world.isMeasured()) {
        const TimePoint from = std::max(trainer.freeSince, TimePoint(std::chrono::seconds(1)) + fromSeconds(m_world.options().warmUp));
        trainer.idle += now - from;
        ++result.steps;
    }
    trainer.isTraining = true;
    trainer.steps.erase(trainer.current);
    ++trainer.current;
    submitStep(index, trainer.current + 1);
    m_world.simulator().after(fromSeconds(trainer.spec.trainSeconds), [this, index] {
        m_trainers[index].isTraining = false;
        m_trainers[index].freeSince = m_world.simulator().now();
        tryTrain(index);
    });
}

void Load::complete()
{
    Result& result = m_world.result();
    const double measured = m_world.options().seconds - m_world.options().warmUp;
    double idle = 0;
    for (Trainer& trainer : m_trainers) {
        if (!trainer.isTraining)
            trainer.idle += m_world.simulator().now() - std::max(trainer.freeSince, TimePoint(std::chrono::seconds(1)) + fromSeconds(m_world.options().warmUp));
        idle += inSeconds(trainer.idle) / measured;
        for (const auto& [number, step] : trainer.steps) {
            for (std::size_t i = 0; i < step.jobs.size(); ++i)
                result.violations.sampleMissing += step.oldest[i] == 0 && step.jobs[i]->state != JobState::Open ? 1 : 0;
        }
    }
    result.idleFraction = m_trainers.empty() ? 0 : idle / static_cast<double>(m_trainers.size());
    result.staleness = result.samples == 0 ? 0 : m_stalenessSum / static_cast<double>(result.samples);
}

}
