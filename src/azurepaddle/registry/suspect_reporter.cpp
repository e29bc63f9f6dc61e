#include "azurepaddle/registry/suspect_reporter.hpp"

#include "azurepaddle/core/run_after.hpp"

#include <utility>

namespace azurepaddle::registry {

namespace {

    constexpr Duration patience = std::chrono::seconds(2);
    constexpr Duration retryDelay = std::chrono::milliseconds(100);
    // Reports that wait for a leader; the oldest are dropped beyond this.
    constexpr std::size_t maxWaiting = 256;

    template <typename T>
    void append(std::vector<T>& to, const std::vector<T>& from)
    {
        to.insert(to.end(), from.begin(), from.end());
        if (to.size() > maxWaiting)
            to.erase(to.begin(), to.end() - static_cast<std::ptrdiff_t>(maxWaiting));
    }

    SuspectsRequest joined(SuspectsRequest earlier, const SuspectsRequest& later)
    {
        append(earlier.crashes, later.crashes);
        append(earlier.cleared, later.cleared);
        return earlier;
    }

}

void SuspectReporter::add(const SuspectsRequest& report)
{
    m_waiting = joined(std::move(m_waiting), report);
    if (!m_isSending)
        send();
}

void SuspectReporter::send()
{
    m_isSending = true;
    SuspectsRequest report = std::exchange(m_waiting, {});
    m_leader.send(report, m_clock.now() + patience, [this, report](const LeaderResult<Acknowledgement>& reply) {
        if (!reply) {
            m_log.warning("crashes={} cleared={} outcome=not-reported, again", report.crashes.size(), report.cleared.size());
            m_waiting = joined(report, m_waiting);
        }
        // Not at once: the result may come while the request is being sent.
        runAfter(m_io, reply ? Duration::zero() : retryDelay, [this] {
            m_isSending = false;
            if (!m_waiting.crashes.empty() || !m_waiting.cleared.empty())
                send();
        });
    });
}

}
