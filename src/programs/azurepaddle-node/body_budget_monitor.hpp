#pragma once

#include "azurepaddle/core/log.hpp"
#include "azurepaddle/http1/body_budget.hpp"
#include "azurepaddle/metrics/registry.hpp"

#include <asio.hpp>

namespace azurepaddle::node {

/// Publishes the state of a body budget as metrics, and logs once per second at most what the budget refused or closed.
class BodyBudgetMonitor {
public:
    BodyBudgetMonitor(asio::io_context& io, const http1::BodyBudget& budget, metrics::Registry& metrics)
        : m_timer(io)
        , m_budget(budget)
        , m_metrics(metrics)
    {
    }

    void start()
    {
        publish();
        m_timer.expires_after(std::chrono::seconds(1));
        m_timer.async_wait([this](std::error_code error) {
            if (!error)
                start();
        });
    }

private:
    void publish()
    {
        m_metrics.gauge("http_request_body_bytes").set(static_cast<double>(m_budget.requestBytes() + m_budget.reservedBytes()));
        m_metrics.gauge("http_unsent_answer_bytes").set(static_cast<double>(m_budget.answerBytes()));
        const http1::BodyBudgetCounts& counts = m_budget.counts();
        const http1::BodyBudgetCounts before = std::exchange(m_published, counts);
        if (counts == before)
            return;
        m_metrics.counter("http_refused_bodies_total").add(counts.refusedBodies - before.refusedBodies);
        m_metrics.counter("http_closed_bodies_total").add(counts.closedBodies - before.closedBodies);
        m_metrics.counter("http_closed_answers_total").add(counts.closedAnswers - before.closedAnswers);
        const http1::BodyBudgetLimits& limits = m_budget.limits();
        m_log.warning("bodies refused={} closed={} closed-answers={} body-bytes={} of={} reserve-bytes={} of={} answer-bytes={} of={}", counts.refusedBodies - before.refusedBodies, counts.closedBodies - before.closedBodies, counts.closedAnswers - before.closedAnswers, m_budget.requestBytes(), limits.requestBytes, m_budget.reservedBytes(), limits.reserveBytes, m_budget.answerBytes(), limits.answerBytes);
    }

    asio::steady_timer m_timer;
    const http1::BodyBudget& m_budget;
    metrics::Registry& m_metrics;
    http1::BodyBudgetCounts m_published;
    const Log m_log { "body-budget" };
};

}
