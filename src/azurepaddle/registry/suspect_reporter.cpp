#include "azurepaddle/registry/suspect_reporter.hpp"

#include "azurepaddle/core/run_after.hpp"

#include <utility>

namespace azurepaddle::registry {

namespace {

    constexpr Duration reportTimeout = std::chrono::seconds(2);
    constexpr Duration retryDelay = std::chrono::milliseconds(100);
    // Crashes and cleared requests that wait for a leader; beyond this number of each, the oldest are dropped.
    constexpr std::size_t maxPending = 256;

    template <typename T>
    void append(std::vector<T>& to, const std::vector<T>& from)
    {
        to.insert(to.end(), from.begin(), from.end());
        if (to.size() > maxPending)
            to.erase(to.begin(), to.end() - static_cast<std::ptrdiff_t>(maxPending));
    }

    SuspectsRequest merged(SuspectsRequest earlier, const SuspectsRequest& later)
    {
        append(earlier.crashes, later.crashes);
        append(earlier.cleared, later.cleared);
        return earlier;
    }

}

void SuspectReporter::add(const SuspectsRequest& report)
{
    m_pending = merged(std::move(m_pending), report);
    if (!m_isSending)
        send();
}

void SuspectReporter::send()
{
    m_isSending = true;
    SuspectsRequest report = std::exchange(m_pending, {});
    m_leader.send(report, m_clock.now() + reportTimeout, [this, report](const LeaderResult<Acknowledgement>& reply) {
        if (!reply) {
            m_log.warning("crashes={} cleared={} outcome=not-reported, the report is sent again", report.crashes.size(), report.cleared.size());
            m_pending = merged(report, m_pending);
        }
        // Deferred, because this callback may run before m_leader.send() has returned.
        runAfter(m_io, reply ? Duration::zero() : retryDelay, [this] {
            m_isSending = false;
            if (!m_pending.crashes.empty() || !m_pending.cleared.empty())
                send();
        });
    });
}

}
