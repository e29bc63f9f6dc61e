#include "azurepaddle/gateway/link_prober.hpp"

#include <utility>

namespace azurepaddle::gateway {

LinkProber::LinkProber(asio::io_context& io, CrashWatch::Probe probe, const Balancer& balancer, metrics::Registry& metrics)
    : m_probe(std::move(probe))
    , m_balancer(balancer)
    , m_metrics(metrics)
    , m_timer(io)
{
}

void LinkProber::recordFailure()
{
    m_monitor.recordFailure(m_clock.now());
    scheduleRound();
}

void LinkProber::scheduleRound()
{
    if (m_monitor.isRoundInProgress() || std::exchange(m_isScheduled, true))
        return;
    m_timer.expires_after(untilNextRound());
    m_timer.async_wait([this](std::error_code error) {
        m_isScheduled = false;
        if (!error)
            beginRound();
    });
}

void LinkProber::beginRound()
{
    const TimePoint now = m_clock.now();
    const auto endpoints = m_monitor.isRoundDue(now) ? m_monitor.beginRound(m_balancer.records(), now) : std::vector<registry::EndpointRecord>();
    if (endpoints.empty())
        return onRoundEnded(std::nullopt);
    probe(endpoints);
}

void LinkProber::probe(const std::vector<registry::EndpointRecord>& endpoints)
{
    for (const registry::EndpointRecord& endpoint : endpoints)
        m_probe(endpoint.address(), [this](http1::ProbeOutcome outcome) { onProbed(outcome); });
}

void LinkProber::onProbed(http1::ProbeOutcome outcome)
{
    const auto changed = m_monitor.recordProbe(outcome == http1::ProbeOutcome::Accepted);
    if (!m_monitor.isRoundInProgress())
        return onRoundEnded(changed);
    probe(m_monitor.continueRound());
}

void LinkProber::onRoundEnded(const std::optional<LinkState>& changed)
{
    if (changed) {
        m_log.warning("links={}", areCut() ? "cut" : "up");
        m_metrics.gauge("gateway_links_cut").set(areCut() ? 1 : 0);
        m_metrics.counter("gateway_link_changes_total").add();
    }
    if (areCut())
        scheduleRound();
    if (changed && m_onChange)
        m_onChange(*changed);
    if (areCut())
        return;
    for (const auto& onUp : std::exchange(m_awaitingUp, {}))
        onUp(changed.has_value());
}

void LinkProber::whenUp(std::function<void(bool wereCut)> onUp)
{
    if (!areSuspected())
        return onUp(false);
    m_awaitingUp.push_back(std::move(onUp));
}

}
