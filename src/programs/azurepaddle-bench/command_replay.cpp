#include "commands.hpp"
#include "service_front.hpp"
#include "trace.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <memory>
#include <stdexcept>

namespace azurepaddle::bench {

namespace {

    struct Replayed {
        TraceRequest request;
        JobPointer job;
    };

    std::string_view stateName(JobState state) noexcept
    {
        constexpr std::string_view names[] = { "open", "finished", "not-run", "failed" };
        return names[static_cast<std::size_t>(state)];
    }

    DeploymentSpec deploymentOf(const Trace& trace)
    {
        for (const DeploymentSpec& deployment : deployments()) {
            if (deployment.name == trace.deployment)
                return deployment;
        }
        throw std::invalid_argument(fmt::format("unknown deployment {}", trace.deployment));
    }

    JobPointer makeJob(World& world, const TraceRequest& request, std::uint64_t id)
    {
        auto job = std::make_shared<Job>();
        job->id = id;
        job->tenant = world.tenantIndex(request.tenant);
        job->service = request.service;
        job->instance = request.instance % world.deployment().instances;
        job->workClass = request.workClass;
        job->promptTokens = request.promptTokens;
        job->outputTokens = request.outputTokens;
        job->maxTokens = request.outputTokens;
        job->isIdempotent = request.isIdempotent;
        job->crashesEndpoint = !request.crashing.empty();
        job->fingerprint = request.crashing;
        if (request.timeout > 0)
            job->timeout = fromSeconds(request.timeout);
        return job;
    }

    std::vector<Replayed> scheduleRequests(World& world, const Trace& trace)
    {
        std::vector<Replayed> result;
        for (const TraceRequest& request : trace.requests) {
            for (std::size_t i = 0; i < request.count; ++i) {
                const JobPointer job = makeJob(world, request, result.size() + 1);
                result.push_back({ request, job });
                world.simulator().after(fromSeconds(request.arrival + static_cast<double>(i) * request.interval), [&world, job] { world.arrive(job); });
            }
        }
        return result;
    }

    void scheduleFaults(World& world, const Trace& trace)
    {
        Simulator& simulator = world.simulator();
        for (const TraceFault& fault : trace.faults) {
            simulator.after(fromSeconds(fault.time), [&world, fault] {
                if (fault.kind == "crash")
                    return world.crash(fault.engine, fault.value);
                if (fault.kind == "silence")
                    return world.silence(static_cast<std::size_t>(fault.value), fault.engine);
                world.setSlow(fault.engine, fault.value);
                world.simulator().after(fromSeconds(fault.seconds), [&world, fault] { world.setSlow(fault.engine, 1); });
            });
        }
        simulator.every(std::chrono::seconds(8), [&world] { world.restartAll(); });
    }

    /// Prints the differences from the stated outcomes and returns their number.
    std::size_t compare(const std::vector<Replayed>& replayed)
    {
        std::size_t differences = 0;
        for (const Replayed& entry : replayed) {
            const double seconds = inSeconds(entry.job->finished - entry.job->arrival);
            const bool isLate = entry.request.within > 0 && entry.job->state == JobState::Finished && seconds > entry.request.within;
            if (entry.job->state == entry.request.outcome && !isLate)
                continue;
            ++differences;
            fmt::print("line {}: {} after {:.3f} s, stated {} within {} s\n", entry.request.line, stateName(entry.job->state), seconds, stateName(entry.request.outcome), entry.request.within);
        }
        return differences;
    }

}

int replayCommand(const std::string& file)
{
    std::ifstream input(file);
    if (!input)
        throw std::invalid_argument(fmt::format("trace {} cannot be read", file));
    const Trace trace = readTrace(input);
    RunOptions options;
    options.seed = trace.seed;
    options.seconds = trace.seconds;
    options.warmUp = 0;
    ScenarioSpec scenario;
    scenario.name = "replay";
    World world(deploymentOf(trace), scenario, options);
    ServiceFront front(world, {});
    front.start();
    world.start();
    const std::vector<Replayed> replayed = scheduleRequests(world, trace);
    scheduleFaults(world, trace);
    world.simulator().run(options.seconds);
    world.complete();
    const std::size_t differences = compare(replayed);
    const std::uint64_t broken = world.result().violations.total();
    fmt::print("{} requests, {} differences, {} broken guarantees\n", replayed.size(), differences, broken);
    return differences == 0 && broken == 0 ? 0 : 1;
}

}
