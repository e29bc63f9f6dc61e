#pragma once

#include "azurepaddle/execution/duty_client.hpp"
#include "azurepaddle/gateway/route_table.hpp"
#include "azurepaddle/gateway/usage_counter.hpp"
#include "azurepaddle/http1/status.hpp"

namespace azurepaddle::execution {

/// Length of the usage windows and time at which they are sealed.
struct UsageOptions {
    Duration windowLength = std::chrono::seconds(5);
    Duration sealDelay = std::chrono::seconds(5); ///< Time after the end of a window for the reports of entries to arrive.
};

/// The next window to seal: the one that follows the newest sealed one, so that none is skipped or sealed twice, or else
/// the first one. Empty until the window has been over for the delay.
[[nodiscard]] std::optional<registry::UsageWindow> nextWindowToSeal(const registry::UsageLedger& ledger, registry::UsageWindow first, WallTime now, const UsageOptions& options);

/// Reports the requests of each workspace to the platform while this instance is the leader. The total of a window is
/// sealed in the replicated log before it is sent, so that every holder sends the same.
template <typename Protocol>
class UsageReporter {
public:
    UsageReporter(registry::ServiceGroup& group, const registry::StateMachine& machine, DutyClient& client, UsageOptions options, metrics::Registry& metrics)
        : m_group(group)
        , m_machine(machine)
        , m_client(client)
        , m_options(options)
        , m_metrics(metrics)
    {
    }

    /// Nothing is reported while the configuration has no workspaces.
    void setRoutes(std::shared_ptr<const gateway::RouteTable> routes) { m_routes = std::move(routes); }
    void onLeadership(bool isLeading);
    /// Seals and sends what is due. Called every few tens of milliseconds.
    void tick();

private:
    void sealIfDue(TimePoint now);
    void sendIfDue(TimePoint now);
    void onAnswer(registry::UsageWindow window, unsigned status);

    // Entries repeat reports that an earlier leader did not acknowledge to a new one within this time.
    static constexpr Duration reportGrace = std::chrono::milliseconds(2500);
    // A call without success is repeated after this time, with the same content.
    static constexpr Duration retryDelay = std::chrono::milliseconds(300);

    registry::ServiceGroup& m_group;
    const registry::StateMachine& m_machine;
    DutyClient& m_client;
    const UsageOptions m_options;
    metrics::Registry& m_metrics;
    const Log m_log { "usage" };
    const SystemClock m_clock {};
    const SteadyWallClock<> m_wallClock {};
    std::shared_ptr<const gateway::RouteTable> m_routes;
    bool m_isLeading = false;
    std::optional<TimePoint> m_currentSince; ///< Since when this instance leads with current state without interruption.
    bool m_isSealing = false;
    bool m_isSending = false; ///< A call or the record of its success is in progress.
    std::optional<registry::UsageWindow> m_first; ///< The window to begin with, if none was sealed yet.
    TimePoint m_nextSend {};
};

template <typename Protocol>
void UsageReporter<Protocol>::onLeadership(bool isLeading)
{
    m_isLeading = isLeading;
    m_currentSince.reset();
    m_isSealing = false;
    m_isSending = false;
    m_nextSend = {};
}

template <typename Protocol>
void UsageReporter<Protocol>::tick()
{
    if (!m_isLeading || !m_group.hasCurrentState())
        return m_currentSince.reset();
    const TimePoint now = m_clock.now();
    if (!m_currentSince)
        m_currentSince = now;
    if (!m_routes || !m_routes->workspaces())
        return;
    if (now - *m_currentSince >= reportGrace)
        sealIfDue(now);
    sendIfDue(now);
}

template <typename Protocol>
void UsageReporter<Protocol>::sealIfDue(TimePoint now)
{
    const registry::UsageLedger& ledger = m_machine.usage();
    if (!m_first)
        m_first = ledger.oldestOpen().value_or(gateway::usageWindowOf(m_wallClock.at(now), m_options.windowLength));
    const auto window = nextWindowToSeal(ledger, *m_first, m_wallClock.at(now), m_options);
    if (!window || std::exchange(m_isSealing, true))
        return;
    m_group.propose(registry::encodeCommand(registry::SealUsage { *window }), [this](const cluster::ProposalResult&) { m_isSealing = false; });
}

template <typename Protocol>
void UsageReporter<Protocol>::sendIfDue(TimePoint now)
{
    m_metrics.gauge("usage_unconfirmed_windows").set(static_cast<double>(m_machine.usage().unconfirmed()));
    if (m_isSending || now < m_nextSend)
        return;
    const auto usage = m_machine.usage().oldestUnconfirmed();
    if (!usage || !m_client.prepareCall())
        return;
    m_isSending = true;
    const DutyHolder holder = m_client.holder();
    m_log.info("window={} workspaces={} fence={} outcome=sent", usage->window, usage->counts.size(), holder.fence);
    m_client.call(Protocol::usageRequest(*usage, holder), [this, window = usage->window](unsigned status) { onAnswer(window, status); });
}

template <typename Protocol>
void UsageReporter<Protocol>::onAnswer(registry::UsageWindow window, unsigned status)
{
    if (!http1::isSuccess(status)) {
        m_log.warning("window={} status={} outcome=not-accepted, the report is sent again", window, status);
        m_metrics.counter("usage_reports_repeated_total").add();
        m_nextSend = m_clock.now() + retryDelay;
        m_isSending = false;
        return;
    }
    m_metrics.counter("usage_reports_total").add();
    m_group.propose(registry::encodeCommand(registry::ConfirmUsage { window }), [this](const cluster::ProposalResult&) { m_isSending = false; });
}

}
