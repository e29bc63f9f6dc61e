#include "targets.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <limits>

namespace azurepaddle::bench {

namespace {

    // The targets of the design page, section 2.3.
    constexpr double maxSlowdownRatio = 1.3;
    constexpr double maxBaselineRatio = 1.0 / 3;
    constexpr double maxWaitRatio = 1.5;
    constexpr double maxIdleRatio = 1.1;
    constexpr double maxStaleFraction = 0.01;
    constexpr double minShare = 0.95;

    constexpr Policy baselines[] = { Policy::Random, Policy::RoundRobin, Policy::LeastReported, Policy::TwoChoices, Policy::Fifo };

    double p99(const std::vector<double>& values)
    {
        return quantile(values, 0.99);
    }

    void judgeTail(const DeploymentResults& results, std::vector<Target>& targets)
    {
        const Result* slow = results.find("slowdowns", Policy::Service);
        const Result* steady = results.find("steady", Policy::Service);
        if (slow && steady)
            targets.push_back({ "p99 of short requests, slowdowns against none", p99(slow->shortLatency) / p99(steady->shortLatency), maxSlowdownRatio });
        double best = std::numeric_limits<double>::infinity();
        for (const Policy policy : baselines) {
            const Result* result = results.find("slowdowns", policy);
            if (result && !result->shortLatency.empty())
                best = std::min(best, p99(result->shortLatency));
        }
        if (!slow || best == std::numeric_limits<double>::infinity())
            return;
        targets.push_back({ "p99 of short requests under slowdowns against the best baseline", p99(slow->shortLatency) / best, maxBaselineRatio });
        const Result* oracle = results.find("slowdowns", Policy::Oracle);
        if (oracle)
            targets.push_back({ "  the same of the oracle", p99(oracle->shortLatency) / best, maxBaselineRatio, true, true });
    }

    void judgeTrainers(const DeploymentResults& results, std::vector<Target>& targets)
    {
        for (const Result& result : results.results) {
            if (result.policy != policyName(Policy::Service) || result.steps == 0)
                continue;
            const Result* oracle = results.find(result.scenario, Policy::Oracle);
            if (oracle && oracle->idleFraction > 0)
                targets.push_back({ fmt::format("trainer idle time against the oracle, {}", result.scenario), result.idleFraction / oracle->idleFraction, maxIdleRatio });
            const Result* blind = results.find(result.scenario, Policy::OracleWithoutSizes);
            if (blind && blind->idleFraction > 0)
                targets.push_back({ "  the same against the oracle without sizes", result.idleFraction / blind->idleFraction, maxIdleRatio, true, true });
            if (result.staleDiscarded > 0 || result.scenario == "swap") {
                const double all = static_cast<double>(result.samples + result.staleDiscarded);
                targets.push_back({ fmt::format("samples discarded as stale, {}", result.scenario), static_cast<double>(result.staleDiscarded) / all, maxStaleFraction });
            }
        }
    }

}

const Result* DeploymentResults::find(const std::string& scenario, Policy policy) const
{
    const auto found = std::find_if(results.begin(), results.end(), [&](const Result& result) { return result.scenario == scenario && result.policy == policyName(policy); });
    return found == results.end() ? nullptr : &*found;
}

std::vector<Target> judge(const DeploymentResults& results)
{
    std::vector<Target> targets;
    judgeTail(results, targets);
    const Result* mixed = results.find("long-mixed", Policy::Service);
    const Result* alone = results.find("short-only", Policy::Service);
    if (mixed && alone)
        targets.push_back({ "p99 wait of short requests, with long work against none", p99(mixed->shortWait) / p99(alone->shortWait), maxWaitRatio });
    judgeTrainers(results, targets);
    if (const Result* greedy = results.find("greedy", Policy::Service))
        targets.push_back({ "lowest share of a busy tenant in 10 s", greedy->lowestShare, minShare, false });
    double violations = 0;
    for (const Result& result : results.results)
        violations += result.policy == policyName(Policy::Service) ? static_cast<double>(result.violations.total()) : 0;
    targets.push_back({ "broken guarantees", violations, 0 });
    return targets;
}

std::string tableOf(const DeploymentResults& results)
{
    std::string text = fmt::format("{}: {} instances, {} endpoints\n", results.deployment.name, results.deployment.instances, results.deployment.endpoints());
    text += fmt::format("{:<17}{:<15}{:>8}{:>8}{:>8}{:>8}{:>8}{:>7}{:>6}{:>6}{:>7}{:>7}{:>7}{:>6}{:>6}{:>6}\n", "scenario", "policy", "p50 s", "p99 s", "wait99",
        "long99", "plain99", "idle", "steps", "stale", "share", "refuse", "failed", "hedge", "retry", "broken");
    for (const Result& result : results.results) {
        text += fmt::format("{:<17}{:<15}{:>8.3f}{:>8.3f}{:>8.3f}{:>8.2f}{:>8.3f}{:>7.3f}{:>6}{:>6}{:>7.3f}{:>7}{:>7}{:>6}{:>6}{:>6}\n", result.scenario, result.policy,
            quantile(result.shortLatency, 0.5), p99(result.shortLatency), p99(result.shortWait), p99(result.longLatency), p99(result.plainLatency),
            result.idleFraction, result.steps, result.staleDiscarded, result.lowestShare, result.refused, result.failed, result.hedges, result.retries,
            result.violations.total());
    }
    return text;
}

std::string brokenText(const DeploymentResults& results)
{
    std::string text;
    for (const Result& result : results.results) {
        const Violations& broken = result.violations;
        if (result.policy != policyName(Policy::Service) || broken.total() == 0)
            continue;
        text += fmt::format("broken in {}: sample twice {}, missing {}, stale {}, mislabelled {}; wrong answer {}, not-run that ran {}, ran twice {}, unanswered {}, endpoints lost {}\n",
            result.scenario, broken.sampleTwice, broken.sampleMissing, broken.sampleStale, broken.sampleMislabelled, broken.wrongAnswer, broken.notRunRan,
            broken.ranTwice, broken.unanswered, broken.endpointsLost);
    }
    return text;
}

std::string targetText(const std::vector<Target>& targets)
{
    std::string text;
    for (const Target& target : targets) {
        if (target.isInformation) {
            text += fmt::format("{:<66} {:>8.3f}  (for information)\n", target.name, target.figure);
            continue;
        }
        const std::string verdict = target.isMet() ? "met" : fmt::format("missed by {:.3f}", target.isUpperBound ? target.figure - target.bound : target.bound - target.figure);
        text += fmt::format("{:<66} {:>8.3f}  ({} {:.3f})  {}\n", target.name, target.figure, target.isUpperBound ? "at most" : "at least", target.bound, verdict);
    }
    return text;
}

}
