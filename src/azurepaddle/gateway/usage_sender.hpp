#pragma once

#include "azurepaddle/core/log.hpp"
#include "azurepaddle/gateway/usage_counter.hpp"
#include "azurepaddle/registry/leader_client.hpp"
#include "azurepaddle/registry/requests.hpp"

namespace azurepaddle::gateway {

/// Sends what an entry has counted to the leader until the leader confirms it. A report repeats all counts that are not
/// sealed, so that a lost or repeated one changes nothing.
class UsageSender {
public:
    /// Reports are sent at this interval. A shorter one loses less with an entry that crashes and costs more messages.
    static constexpr Duration interval = std::chrono::seconds(1);

    UsageSender(asio::io_context& io, registry::LeaderClient& leader, const UsageCounter& counter, std::function<void(registry::UsageWindow)> onSealed);

    /// Sets the function called before each periodic report, to count what is still outstanding.
    void setOnReport(std::function<void()> onReport) { m_onReport = std::move(onReport); }
    /// Whether counts are not confirmed yet.
    [[nodiscard]] bool hasUnconfirmed() const { return m_counter.counted() != m_confirmed; }
    /// Begins to send periodically.
    void start();
    /// Sends at once what is not confirmed yet.
    void flush();

private:
    void onReply(std::uint64_t counted, const registry::LeaderResult<registry::ReportUsageReply>& reply);

    registry::LeaderClient& m_leader;
    const UsageCounter& m_counter;
    const std::function<void(registry::UsageWindow)> m_onSealed;
    std::function<void()> m_onReport;
    const Log m_log { "usage" };
    const SystemClock m_clock {};
    asio::steady_timer m_timer;
    std::uint64_t m_confirmed = 0; ///< Requests counted by the last confirmed report.
    bool m_isSending = false;
};

}
