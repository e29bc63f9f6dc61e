#include "azurepaddle/execution/duty_client.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace azurepaddle::execution {

namespace {

    // Shorter than the lease, so that a holder that is cut off from the platform notices it before another may follow.
    constexpr Duration callTimeout = std::chrono::milliseconds(1500);
    // An unanswered call may still reach the platform for this long.
    constexpr Duration maxUnansweredCallTime = std::chrono::milliseconds(500);
    constexpr std::size_t maxConnections = 2;
    constexpr std::uint64_t maxAnswerBytes = 64U * 1024U;
    constexpr double minCallsPerSecond = 0.1;

}

DutyClient::DutyClient(http1::ClientPool& pool, OrderWindow& window, DutyOptions options, metrics::Registry& metrics)
    : m_pool(pool)
    , m_window(window)
    , m_options(std::move(options))
    , m_metrics(metrics)
{
    m_window.addSender({ [this] { return !m_inProgress.empty(); }, [] {} });
}

void DutyClient::onLeadership()
{
    // A call of the earlier leadership, with a lower token, may still arrive for a short time.
    if (!m_inProgress.empty())
        m_nextCall = m_clock.now() + maxUnansweredCallTime;
    for (const auto& [number, call] : std::exchange(m_inProgress, {}))
        call->cancel();
}

bool DutyClient::prepareCall()
{
    if (m_clock.now() < m_nextCall || m_inProgress.size() >= maxConnections || !m_window.acquire())
        return false;
    if (m_window.isOpen())
        return true;
    m_window.open();
    return false;
}

void DutyClient::call(const http1::Request& request, const std::function<void(unsigned)>& onAnswer)
{
    const TimePoint now = m_clock.now();
    const std::uint64_t number = m_nextNumber++;
    m_nextCall = now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / std::max(m_options.callsPerSecond, minCallsPerSecond)));
    m_metrics.counter("duty_calls_total").add();
    const auto status = std::make_shared<unsigned>(0);
    http1::CallEvents events;
    events.onHead = [status](const http1::Response& head) {
        *status = head.status;
        return true;
    };
    events.onBody = [](const std::string&) {};
    events.onEnd = [this, number, status, onAnswer](const http1::CallEnd& end) { onEnd(number, end, *status, onAnswer); };
    http1::CallOptions options;
    options.deadline = now + callTimeout;
    options.maxConnections = maxConnections;
    options.maxBodyBytes = maxAnswerBytes;
    m_inProgress[number] = m_pool.send(m_options.address, request, options, std::move(events));
}

void DutyClient::onEnd(std::uint64_t number, const http1::CallEnd& end, unsigned status, const std::function<void(unsigned)>& onAnswer)
{
    if (m_inProgress.erase(number) == 0)
        return; // The leadership has ended since.
    const bool isAnswered = end.kind == http1::CallEndKind::Complete;
    m_window.recordEnd(isAnswered || !end.isSent, maxUnansweredCallTime);
    if (!isAnswered)
        m_metrics.counter("duty_calls_unanswered_total").add();
    onAnswer(isAnswered ? status : 0);
}

}
