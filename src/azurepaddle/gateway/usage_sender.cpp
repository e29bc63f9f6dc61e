#include "azurepaddle/gateway/usage_sender.hpp"

namespace azurepaddle::gateway {

UsageSender::UsageSender(asio::io_context& io, registry::LeaderClient& leader, const UsageCounter& counter, std::function<void(registry::UsageWindow)> onSealed)
    : m_leader(leader)
    , m_counter(counter)
    , m_onSealed(std::move(onSealed))
    , m_timer(io)
{
}

void UsageSender::start()
{
    m_timer.expires_after(interval);
    m_timer.async_wait([this](std::error_code error) {
        if (error)
            return;
        if (m_onReport)
            m_onReport();
        flush();
        start();
    });
}

void UsageSender::flush()
{
    if (m_isSending || !hasUnconfirmed())
        return;
    m_isSending = true;
    m_leader.send(registry::ReportUsageRequest { m_counter.report() }, m_clock.now() + interval, [this, counted = m_counter.counted()](const registry::LeaderResult<registry::ReportUsageReply>& reply) {
        onReply(counted, reply);
    });
}

void UsageSender::onReply(std::uint64_t counted, const registry::LeaderResult<registry::ReportUsageReply>& reply)
{
    m_isSending = false;
    if (!reply)
        return m_log.warning("requests={} outcome=not-reported, the report is sent again", counted - m_confirmed);
    m_confirmed = counted;
    if (reply->hasSealed)
        m_onSealed(reply->newestSealed);
}

}
