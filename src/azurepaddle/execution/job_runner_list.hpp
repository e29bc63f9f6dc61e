#pragma once

// Recording of item outcomes in the replicated log: first the last parts of texts, then results.

#include "azurepaddle/core/run_after.hpp"
#include "azurepaddle/execution/job_runner.hpp"

namespace azurepaddle::execution {

template <typename Protocol>
void JobRunner<Protocol>::finish(const RunPointer& run, batch::ItemResult result)
{
    run->stage = Stage::Recording;
    const bool isCompleted = result.state == batch::ResultState::Completed;
    m_log.info("item id={} job={} outcome={} bytes={} took-ms={}", run->item, run->job, isCompleted ? "completed" : "dead", result.output.size(), std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - run->acceptedAt).count());
    m_metrics.counter(isCompleted ? "items_completed_total" : "items_dead_total").add();
    m_texts.erase(run->item);
    m_results[run->job].results.push_back(std::move(result));
    scheduleFlush();
}

template <typename Protocol>
void JobRunner<Protocol>::scheduleFlush(Duration delay)
{
    if (std::exchange(m_isFlushScheduled, true))
        return;
    const auto flush = [this] {
        m_isFlushScheduled = false;
        proposeResults();
    };
    if (delay == Duration::zero())
        asio::post(m_io, flush);
    else
        runAfter(m_io, delay, flush);
}

template <typename Protocol>
void JobRunner<Protocol>::proposeResults()
{
    // A scored result refers to its text, which is recorded before it. If recording the text fails, the result is
    // proposed again with its text.
    if (!m_completedTexts.empty())
        m_group.propose(registry::encodeCommand(registry::AppendTexts { std::exchange(m_completedTexts, {}) }), [](const cluster::ProposalResult&) {});
    for (auto& [job, command] : std::exchange(m_results, {})) {
        command.job = job;
        std::string bytes = registry::encodeCommand(command);
        m_group.propose(std::move(bytes), [this, command = std::move(command)](const cluster::ProposalResult& result) {
            if (result.status == cluster::ProposalStatus::Applied)
                onResultsRecorded(command);
            else if (result.status == cluster::ProposalStatus::Busy)
                requeueResults(command);
            // With any other status the leadership has ended; the next leader runs the items again.
        });
    }
}

template <typename Protocol>
void JobRunner<Protocol>::onResultsRecorded(const registry::RecordResults& command)
{
    if (const auto runs = m_runs.find(command.job); runs != m_runs.end()) {
        for (const batch::ItemResult& listed : command.results)
            runs->second.erase(listed.id);
        for (const batch::ScoredItem& scored : command.scored) {
            const auto text = m_texts.find(scored.item);
            if (!runs->second.contains(scored.item))
                continue;
            if (text != m_texts.end() && !m_machine.jobs().hasResult(command.job, scored.item)) {
                // The text was not committed, so the result is proposed with it.
                m_results[command.job].results.push_back({ scored.item, batch::ResultState::Completed, text->second.text.output(), text->second.text.versions(), scored.score });
                scheduleFlush();
                continue;
            }
            runs->second.erase(scored.item);
            m_texts.erase(scored.item);
        }
    }
    if (m_onResultsRecorded)
        m_onResultsRecorded(command.job);
}

template <typename Protocol>
void JobRunner<Protocol>::requeueResults(const registry::RecordResults& command)
{
    if (!m_runs.contains(command.job))
        return;
    registry::RecordResults& pending = m_results[command.job];
    pending.results.insert(pending.results.end(), command.results.begin(), command.results.end());
    pending.scored.insert(pending.scored.end(), command.scored.begin(), command.scored.end());
    scheduleFlush(internal::retryDelay);
}

}
