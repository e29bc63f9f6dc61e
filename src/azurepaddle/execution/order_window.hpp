#pragma once

#include "azurepaddle/execution/order_right.hpp"
#include "azurepaddle/registry/leader_service.hpp"

#include <functional>

namespace azurepaddle::execution {

/// Settings for sending orders.
struct OrderOptions {
    std::string instance; ///< Name of this instance, recorded as the holder of the order right.
    Duration lease = std::chrono::seconds(3); ///< Minimum time between orders of two different holders.
};

/// A part of the leader that sends orders.
struct OrderSender {
    std::function<bool()> isSending; ///< Whether an order of this sender has no answer yet.
    std::function<void()> onOpened; ///< Called when orders may be sent after `open`.
};

/// The exclusive right of one instance to send orders to endpoints and to the platform, shared by all senders of this
/// instance. While this instance is the leader, it claims the right by a record in the replicated log, once no order of
/// an earlier holder can still arrive. Orders are sent only between two records that open and close the order window,
/// from which the next holder derives a lower bound on the age of these orders. Orders carry the fencing token.
class OrderWindow {
public:
    OrderWindow(registry::ServiceGroup& group, const registry::StateMachine& machine, OrderOptions options);

    /// Must be called before the first tick.
    void addSender(OrderSender sender) { m_senders.push_back(std::move(sender)); }
    void onLeadership(bool isLeading);
    /// Dates changes of the replicated record, and closes the window once no sender has an order in flight. Called every
    /// few tens of milliseconds, on every instance.
    void tick();

    /// Whether this instance holds the order right now. If not, proposes a claim as soon as it may. Must be checked
    /// directly before an order is sent, because a lease may have expired during a suspension.
    [[nodiscard]] bool acquire();
    /// Whether this instance holds the order right and its window is recorded as open, so that orders may be sent.
    [[nodiscard]] bool isOpen() const;
    /// Records that orders follow. The senders are notified once it is committed.
    void open() { setOpen(true); }
    /// Records the end of an order. An order without a complete answer may arrive up to this long after its end.
    void recordEnd(bool isAnswered, Duration maxUnansweredTime);

    /// The name of this instance, which orders name as their holder.
    [[nodiscard]] const std::string& instance() const noexcept { return m_options.instance; }
    /// The fencing token of this instance while it holds the order right.
    [[nodiscard]] std::uint64_t fence() const { return m_group.term(); }

private:
    [[nodiscard]] bool isHolder() const;
    void setOpen(bool isOpen);

    registry::ServiceGroup& m_group;
    const registry::StateMachine& m_machine;
    const OrderOptions m_options;
    const Log m_log { "orders" };
    const SystemClock m_clock {};
    OrderRight m_right;
    std::vector<OrderSender> m_senders;
    bool m_isLeading = false;
    bool m_isClaimPending = false;
    bool m_isChangePending = false;
    TimePoint m_lastOrderEnd; ///< Earliest time at which no order was in flight any more.
};

}
