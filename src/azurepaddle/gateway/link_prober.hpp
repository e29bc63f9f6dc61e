#pragma once

#include "azurepaddle/core/log.hpp"
#include "azurepaddle/gateway/balancer.hpp"
#include "azurepaddle/gateway/crash_watch.hpp"
#include "azurepaddle/gateway/link_monitor.hpp"
#include "azurepaddle/metrics/registry.hpp"

#include <asio.hpp>

namespace azurepaddle::gateway {

/// Runs the rounds of probes that the link monitor decides on. Uses no timer while the links are up and nothing fails.
class LinkProber {
public:
    /// Probes endpoints of the balancer.
    LinkProber(asio::io_context& io, CrashWatch::Probe probe, const Balancer& balancer, metrics::Registry& metrics);

    /// Called with each change of the state.
    void setOnChange(std::function<void(LinkState)> onChange) { m_onChange = std::move(onChange); }
    void recordContact() { m_monitor.recordContact(); }
    void recordFailure();
    [[nodiscard]] bool areCut() const noexcept { return m_monitor.state() == LinkState::Cut; }
    /// Whether the links are cut, or a failure has not been explained yet.
    [[nodiscard]] bool areSuspected() const noexcept { return areCut() || m_isScheduled || m_monitor.isRoundInProgress(); }
    /// Calls back once the links are known to be up, at once if nothing is suspected, and tells whether they were cut
    /// until then.
    void whenUp(std::function<void(bool wereCut)> onUp);
    /// Time until the next round of probes.
    [[nodiscard]] Duration untilNextRound() const { return std::max<Duration>(m_monitor.nextRound() - m_clock.now(), Duration::zero()); }

private:
    void beginRound();
    void probe(const std::vector<registry::EndpointRecord>& endpoints);
    void scheduleRound();
    void onRoundEnded(const std::optional<LinkState>& changed);
    void onProbed(http1::ProbeOutcome outcome);

    CrashWatch::Probe m_probe;
    const Balancer& m_balancer;
    metrics::Registry& m_metrics;
    LinkMonitor m_monitor;
    asio::steady_timer m_timer;
    bool m_isScheduled = false;
    std::function<void(LinkState)> m_onChange;
    std::vector<std::function<void(bool)>> m_awaitingUp;
    const Log m_log { "links" };
    const SystemClock m_clock {};
};

}
