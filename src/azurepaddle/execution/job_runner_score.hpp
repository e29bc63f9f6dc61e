#pragma once

// Scoring of complete texts by reward services.

#include "azurepaddle/execution/job_runner.hpp"
#include "azurepaddle/http1/status.hpp"

#include <algorithm>

namespace azurepaddle::execution {

namespace internal {

    // Delay before a reward call without a score is repeated. It doubles with each further attempt, up to the limit
    // below.
    constexpr Duration initialRewardRetryDelay = std::chrono::milliseconds(30);
    constexpr unsigned maxRewardDelayDoublings = 5;

}

/// Records the text of an item as its result, or waits for its score first. In the latter case the text itself is
/// recorded at once, so that it is not generated again if this instance loses the leadership.
template <typename Protocol>
void JobRunner<Protocol>::onTextComplete(const RunPointer& run)
{
    const batch::ItemSpec* spec = specOf(*run);
    if (!spec)
        return;
    if (!spec->needsScore()) {
        const ItemText& text = textOf(*run);
        return finish(run, { run->item, batch::ResultState::Completed, text.output(), text.versions(), {} });
    }
    run->stage = Stage::Scoring;
    run->number = m_nextNumber++;
    m_awaitingScore.push_back(run);
    if (!run->reusedResult && !textOf(*run).isEndRecorded()) {
        m_completedTexts.push_back(textOf(*run).takeRest(run->item));
        scheduleFlush();
    }
    scheduleUpdate();
}

/// Returns the number of items without a recorded result for each group of a job.
template <typename Protocol>
std::map<GroupId, std::size_t> JobRunner<Protocol>::openItemsByGroup(const batch::JobId& job) const
{
    std::map<GroupId, std::size_t> counts;
    const auto runs = m_runs.find(job);
    if (runs == m_runs.end())
        return counts;
    for (const auto& [item, run] : runs->second) {
        if (const batch::ItemSpec* spec = specOf(*run))
            ++counts[spec->group];
    }
    return counts;
}

/// Looks up the route of a reward call, unless it was already taken from the current table.
template <typename Protocol>
void JobRunner<Protocol>::findRewardRoute(Run& run, const batch::RewardCall& reward) const
{
    if (run.rewardRoutes == m_routes)
        return;
    run.rewardRoutes = m_routes;
    run.rewardRoute = nullptr;
    const gateway::Route* route = gateway::findRewardRoute(*m_routes, reward);
    if (!route)
        return;
    // Reward calls may always be repeated, even if the route does not allow it for client requests.
    const auto repeatable = std::make_shared<gateway::Route>(*route);
    repeatable->kind = gateway::RouteKind::Idempotent;
    run.rewardRoute = repeatable;
}

/// Sends the reward calls for which each reward service has capacity.
template <typename Protocol>
void JobRunner<Protocol>::dispatchRewardCalls()
{
    const TimePoint now = m_clock.now();
    std::map<ServiceName, batch::ScoreCapacity> capacities;
    std::map<ServiceName, std::vector<batch::WaitingScore>> waiting;
    std::map<batch::JobId, std::map<GroupId, std::size_t>> openItems;
    for (std::size_t index = 0; index < m_awaitingScore.size(); ++index) {
        Run& run = *m_awaitingScore[index];
        const batch::ItemSpec* spec = specOf(run);
        if (!spec)
            continue;
        findRewardRoute(run, spec->reward);
        if (!run.rewardRoute)
            continue;
        const ServiceName& service = run.rewardRoute->services.front().service;
        capacities[service].inProgress += run.rewardCall ? 1 : 0;
        if (run.rewardCall || now < run.notBefore)
            continue;
        auto counted = openItems.find(run.job);
        if (counted == openItems.end())
            counted = openItems.emplace(run.job, openItemsByGroup(run.job)).first;
        const batch::Job* job = m_machine.jobs().find(run.job);
        waiting[service].push_back({ index, spec->group, run.isCarriedOver, job ? job->order : 0, counted->second[spec->group] });
    }
    for (auto& [service, scores] : waiting) {
        batch::ScoreCapacity& capacity = capacities[service];
        capacity.slots = m_balancer.slotCount(service);
        for (const std::size_t index : batch::planScores(std::move(scores), capacity))
            sendReward(m_awaitingScore[index]);
    }
}

template <typename Protocol>
void JobRunner<Protocol>::sendReward(const RunPointer& run)
{
    const unsigned maxAttempts = std::max(run->rewardRoute->maxAttempts, run->maxAttempts);
    auto request = std::make_shared<http1::Request>(Protocol::rewardRequest(specOf(*run)->reward));
    setCaller(*request, run->workspace);
    ++run->rewardAttempts;
    m_log.info("item id={} job={} reward-id={} route={} try={} outcome=scoring", run->item, run->job, Protocol::requestId(*request), run->rewardRoute->name, run->rewardAttempts);
    m_metrics.counter("reward_calls_total").add();
    const auto onResult = [this, weak = std::weak_ptr(run), number = run->number, maxAttempts](gateway::ForwardResult result) {
        // Posted, because the forwarder may report the result before `send` returns.
        asio::post(m_io, [this, weak, number, maxAttempts, result = std::move(result)] {
            const auto current = weak.lock();
            if (current && current->number == number && current->stage == Stage::Scoring)
                onRewardResult(current, result, maxAttempts);
        });
    };
    run->rewardCall = m_forwarder.send({ std::move(request), m_clock.now(), run->rewardRoutes, run->rewardRoute, false }, onResult);
}

template <typename Protocol>
void JobRunner<Protocol>::onRewardResult(const RunPointer& run, const gateway::ForwardResult& result, unsigned maxAttempts)
{
    constexpr unsigned unprocessable = 422;
    run->rewardCall = nullptr;
    const unsigned status = result.response.status;
    const bool isSuccess = http1::isSuccess(status);
    std::string score = isSuccess ? Protocol::scoreOf(result.response) : std::string();
    scheduleUpdate();
    if (!score.empty())
        return onScore(run, std::move(score));
    run->failures.rewardCalls += result.internalErrors;
    m_log.info("item id={} job={} endpoint={} outcome=not-scored status={} failures={} try={}", run->item, run->job, result.endpoint, status, run->failures.rewardCalls, run->rewardAttempts);
    const bool isUnprocessable = status == unprocessable && !result.endpoint.empty();
    if (isUnprocessable || run->failures.rewardCalls >= maxAttempts) {
        stopScoring(run);
        return finish(run, { run->item, batch::ResultState::Abandoned, {}, {}, {} });
    }
    if (result.internalErrors > 0)
        recordFailures(*run);
    run->notBefore = m_clock.now() + internal::initialRewardRetryDelay * (1U << std::min(run->rewardAttempts - 1, internal::maxRewardDelayDoublings));
}

template <typename Protocol>
void JobRunner<Protocol>::onScore(const RunPointer& run, std::string score)
{
    stopScoring(run);
    if (run->reusedResult) {
        run->reusedResult->score = std::move(score);
        return finish(run, std::move(*run->reusedResult));
    }
    run->stage = Stage::Recording;
    m_log.info("item id={} job={} outcome=scored took-ms={}", run->item, run->job, std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - run->acceptedAt).count());
    m_metrics.counter("items_completed_total").add();
    m_results[run->job].scored.push_back({ run->item, std::move(score), textOf(*run).digest() });
    scheduleFlush();
}

/// Cancels the scoring of an item without an outcome.
template <typename Protocol>
void JobRunner<Protocol>::stopScoring(const RunPointer& run)
{
    run->stage = Stage::Waiting;
    run->number = 0;
    std::erase(m_awaitingScore, run);
    if (const auto call = std::exchange(run->rewardCall, nullptr))
        call->cancel();
}

template <typename Protocol>
void JobRunner<Protocol>::setRoutes(std::shared_ptr<const gateway::RouteTable> routes)
{
    m_routes = std::move(routes);
    m_forwardedServices = gateway::forwardedServices(*m_routes);
    m_endpointsRevision = 0;
}

/// Passes the endpoints of reward services to the balancer after changes of the directory.
template <typename Protocol>
void JobRunner<Protocol>::updateBalancerEndpoints()
{
    const registry::Directory& directory = m_machine.directory();
    if (directory.revision() == m_endpointsRevision)
        return;
    m_endpointsRevision = directory.revision();
    m_balancer.setEndpoints(directory.activeEndpointsOf(m_forwardedServices));
}

}
