#include "azurepaddle/execution/order_window.hpp"

#include <algorithm>
#include <utility>

namespace azurepaddle::execution {

namespace {

    // The window stays open for this long after the last order, for orders that follow soon.
    constexpr Duration idleTimeout = std::chrono::milliseconds(40);

}

OrderWindow::OrderWindow(registry::ServiceGroup& group, const registry::StateMachine& machine, OrderOptions options)
    : m_group(group)
    , m_machine(machine)
    , m_options(std::move(options))
    , m_right(m_options.lease)
{
}

void OrderWindow::onLeadership(bool isLeading)
{
    m_isLeading = isLeading;
    m_isClaimPending = false;
    m_isChangePending = false;
    m_lastOrderEnd = {};
    m_right.onElected(m_clock.now());
}

void OrderWindow::tick()
{
    const TimePoint now = m_clock.now();
    m_right.observe(m_machine.orders(), now);
    if (!m_isLeading || !m_group.hasCurrentState() || !isOpen() || now - m_lastOrderEnd <= idleTimeout)
        return;
    if (std::none_of(m_senders.begin(), m_senders.end(), [](const OrderSender& sender) { return sender.isSending(); }))
        setOpen(false);
}

/// Whether the replicated record names this instance in its current term as the holder of the order right.
bool OrderWindow::isHolder() const
{
    const registry::ClaimOrders& holder = m_machine.orders().holder;
    return holder.instance == m_options.instance && holder.fence == m_group.term();
}

bool OrderWindow::acquire()
{
    if (!m_group.hasCurrentState())
        return false;
    if (isHolder())
        return true;
    m_right.observe(m_machine.orders(), m_clock.now());
    if (m_isClaimPending || !m_right.mayClaim(m_options.instance, m_clock.now()))
        return false;
    m_isClaimPending = true;
    const std::uint64_t term = m_group.term();
    m_log.info("claims the order right fence={} from=\"{}\"", term, m_machine.orders().holder.instance);
    m_group.propose(registry::encodeCommand(registry::ClaimOrders { m_options.instance, term }), [this](const cluster::ProposalResult&) { m_isClaimPending = false; });
    return false;
}

bool OrderWindow::isOpen() const
{
    return m_machine.orders().isOpen && !m_isChangePending && isHolder();
}

void OrderWindow::setOpen(bool isOpen)
{
    if (std::exchange(m_isChangePending, true))
        return;
    const std::uint64_t term = m_group.term();
    m_log.debug("order window fence={} is-open={}", term, isOpen);
    m_group.propose(registry::encodeCommand(registry::SetOrderWindow { term, isOpen }), [this, isOpen](const cluster::ProposalResult& result) {
        m_isChangePending = false;
        m_lastOrderEnd = m_clock.now();
        if (!isOpen || result.status != cluster::ProposalStatus::Applied)
            return;
        for (const OrderSender& sender : m_senders)
            sender.onOpened();
    });
}

void OrderWindow::recordEnd(bool isAnswered, Duration maxUnansweredTime)
{
    m_lastOrderEnd = std::max(m_lastOrderEnd, m_clock.now() + (isAnswered ? Duration::zero() : maxUnansweredTime));
}

}
