#include "commands.hpp"
#include "targets.hpp"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <map>
#include <stdexcept>
#include <thread>

namespace azurepaddle::bench {

namespace {

    constexpr std::size_t histogramWidth = 50;
    constexpr std::size_t histogramBars = 16;

    /// Settings that a round of measurements varies, by name.
    void applySetting(ServiceSettings& settings, const std::string& text)
    {
        const std::map<std::string, std::function<void(double)>> known {
            { "candidates", [&](double value) { settings.router.candidateCount = static_cast<std::uint32_t>(value); } },
            { "long-slots", [&](double value) { settings.router.longWorkSlotFraction = value; } },
            { "borrow", [&](double value) { settings.router.maxUtilisationForBorrowing = value; } },
            { "long-fill", [&](double value) { settings.router.maxUtilisationForLongWork = value; } },
            { "others", [&](double value) { settings.router.otherInstancesWeight = value; } },
            { "exclude", [&](double value) { settings.router.slowDetector.excludeRatio = value; } },
            { "smoothing", [&](double value) { settings.shareSmoothing = value; } },
            { "short-weight", [&](double value) { settings.admission.queue.shortWeight = value; } },
            { "quantum", [&](double value) { settings.admission.queue.quantum = value; } },
            { "hedge-utilisation", [&](double value) { settings.hedge.maxUtilisation = value; } },
        };
        const auto separator = text.find('=');
        const auto setting = known.find(text.substr(0, separator));
        if (separator == std::string::npos || setting == known.end())
            throw std::invalid_argument(fmt::format("unknown setting {}", text));
        setting->second(std::stod(text.substr(separator + 1)));
    }

    void printHistograms(const DeploymentResults& results)
    {
        for (const Result& result : results.results)
            fmt::print("\n{} {}: short requests by latency\n{}", result.scenario, result.policy, metrics::drawBars(result.shortHistogram.bars(histogramBars), histogramWidth));
    }

    DeploymentResults runDeployment(const DeploymentSpec& deployment, const RunCommand& command, const RunOptions& options)
    {
        ServiceSettings settings;
        for (const std::string& text : command.set)
            applySetting(settings, text);
        std::vector<std::pair<ScenarioSpec, Policy>> runs;
        for (const ScenarioSpec& scenario : scenarios()) {
            if (!command.scenario.empty() && command.scenario != scenario.name)
                continue;
            for (const Policy policy : allPolicies) {
                if (!command.policy.empty() && command.policy != policyName(policy))
                    continue;
                if (!command.onlyService || policy == Policy::Service || policy == Policy::Oracle)
                    runs.emplace_back(scenario, policy);
            }
        }
        DeploymentResults results { deployment, std::vector<Result>(runs.size()) };
        std::atomic<std::size_t> next { 0 };
        std::vector<std::thread> threads;
        for (std::size_t i = 0; i < std::max<std::size_t>(1, command.jobs); ++i) {
            threads.emplace_back([&] {
                for (std::size_t run = next++; run < runs.size(); run = next++)
                    results.results[run] = runScenario(deployment, runs[run].first, runs[run].second, options, settings);
            });
        }
        for (std::thread& thread : threads)
            thread.join();
        return results;
    }

    bool writeFile(const std::string& name, const std::string& text)
    {
        if (name.empty())
            return true;
        std::ofstream file(name);
        file << text;
        return file.good();
    }

    std::uint64_t brokenGuarantees(const DeploymentResults& results)
    {
        std::uint64_t total = 0;
        for (const Result& result : results.results)
            total += result.policy == policyName(Policy::Service) ? result.violations.total() : 0;
        return total;
    }

}

int runCommand(const RunCommand& command)
{
    std::uint64_t broken = 0;
    std::vector<DeploymentResults> all;
    RunOptions options;
    options.seconds = command.seconds;
    for (const std::uint64_t seed : command.seeds) {
        options.seed = seed;
        for (const DeploymentSpec& deployment : deployments()) {
            if (!command.deployment.empty() && command.deployment != deployment.name)
                continue;
            all.push_back(runDeployment(deployment, command, options));
            fmt::print("seed {}\n{}\n{}{}\n", seed, tableOf(all.back()), targetText(judge(all.back())), brokenText(all.back()));
            std::fflush(stdout);
            if (command.showsHistograms)
                printHistograms(all.back());
            broken += brokenGuarantees(all.back());
        }
    }
    if (all.empty() || all.front().results.empty()) {
        fmt::print(stderr, "no such scenario or deployment\n");
        return 2;
    }
    if (!writeFile(command.jsonFile, jsonOf(all, options)) || !writeFile(command.htmlFile, htmlOf(all, options))) {
        fmt::print(stderr, "a report could not be written\n");
        return 2;
    }
    return broken == 0 ? 0 : 1;
}

int scaleCommand()
{
    ScenarioSpec scenario = scenarios().front();
    fmt::print("{:>10}{:>10}{:>10}{:>10}{:>10}{:>12}\n", "endpoints", "instances", "policy", "p50 s", "p99 s", "oracle p99");
    for (const std::size_t endpoints : { 12U, 24U, 48U, 96U }) {
        const DeploymentSpec deployment = scaledDeployment(endpoints, endpoints / 2);
        RunOptions options;
        options.seconds = 60;
        const Result service = runScenario(deployment, scenario, Policy::Service, options);
        const Result oracle = runScenario(deployment, scenario, Policy::Oracle, options);
        fmt::print("{:>10}{:>10}{:>10}{:>10.3f}{:>10.3f}{:>12.3f}\n", endpoints, deployment.instances, service.policy, quantile(service.shortLatency, 0.5),
            quantile(service.shortLatency, 0.99), quantile(oracle.shortLatency, 0.99));
    }
    return 0;
}

}
