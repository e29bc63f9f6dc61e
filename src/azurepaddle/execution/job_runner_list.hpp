#pragma once

// How the runner records what items came to: the ends of texts, then results.

#include "azurepaddle/execution/job_runner.hpp"

namespace azurepaddle::execution {

template <typename Protocol>
void JobRunner<Protocol>::finish(const RunPointer& run, batch::ItemResult result)
{
    run->stage = Stage::Listing;
    const bool isCompleted = result.state == batch::ResultState::Completed;
    m_log.info("item id={} job={} outcome={} bytes={} took-ms={}", run->item, run->job, isCompleted ? "completed" : "dead", result.output.size(), std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - run->acceptedAt).count());
    m_metrics.counter(isCompleted ? "items_completed_total" : "items_dead_total").add();
    m_texts.erase(run->item);
    m_results[run->job].results.push_back(std::move(result));
    scheduleFlush();
}

template <typename Protocol>
void JobRunner<Protocol>::scheduleFlush()
{
    if (std::exchange(m_isFlushScheduled, true))
        return;
    asio::post(m_io, [this] {
        m_isFlushScheduled = false;
        flushResults();
    });
}

template <typename Protocol>
void JobRunner<Protocol>::flushResults()
{
    // A scored result refers to the text that is recorded before it. If that record fails, the whole result is listed.
    if (!m_completedTexts.empty())
        m_group.propose(registry::encodeCommand(registry::KeepTexts { std::exchange(m_completedTexts, {}) }), [](const cluster::ProposalResult&) {});
    for (auto& [job, command] : std::exchange(m_results, {})) {
        command.job = job;
        std::string bytes = registry::encodeCommand(command);
        m_group.propose(std::move(bytes), [this, command = std::move(command)](const cluster::ProposalResult& result) { onListed(command, result); });
    }
}

template <typename Protocol>
void JobRunner<Protocol>::onListed(const registry::ListResults& command, const cluster::ProposalResult& result)
{
    const auto runs = m_runs.find(command.job);
    if (result.status == cluster::ProposalStatus::Applied) {
        for (const batch::ItemResult& listed : command.results) {
            if (runs != m_runs.end())
                runs->second.erase(listed.id);
        }
        for (const batch::ScoredItem& scored : command.scored) {
            if (runs == m_runs.end() || !runs->second.contains(scored.item))
                continue;
            const auto text = m_texts.find(scored.item);
            if (m_machine.jobs().isListed(command.job, scored.item) || text == m_texts.end()) {
                runs->second.erase(scored.item);
                m_texts.erase(scored.item);
                continue;
            }
            // The record of its text was not agreed on.
            m_results[command.job].results.push_back({ scored.item, batch::ResultState::Completed, text->second.text.output(), text->second.text.versions(), scored.score });
            scheduleFlush();
        }
        if (m_onListed)
            m_onListed(command.job);
        return;
    }
    if (result.status != cluster::ProposalStatus::Busy || runs == m_runs.end())
        return; // Leadership ended; the next leader runs the items again.
    registry::ListResults& again = m_results[command.job];
    again.results.insert(again.results.end(), command.results.begin(), command.results.end());
    again.scored.insert(again.scored.end(), command.scored.begin(), command.scored.end());
    if (std::exchange(m_isFlushScheduled, true))
        return;
    const auto timer = std::make_shared<asio::steady_timer>(m_io, internal::retryDelay);
    timer->async_wait([this, timer](std::error_code) {
        m_isFlushScheduled = false;
        flushResults();
    });
}

}
