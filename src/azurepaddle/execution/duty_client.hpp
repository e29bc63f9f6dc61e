#pragma once

#include "azurepaddle/execution/order_window.hpp"
#include "azurepaddle/http1/client.hpp"
#include "azurepaddle/metrics/registry.hpp"

#include <map>

namespace azurepaddle::execution {

/// Who performs a duty at the platform, named in each call.
struct DutyHolder {
    std::string instance;
    std::uint64_t fence = 0; ///< Fencing token; higher than that of every earlier holder.

    friend bool operator==(const DutyHolder&, const DutyHolder&) = default;
};

/// Where and how often the platform may be called.
struct DutyOptions {
    InstanceAddress address;
    double callsPerSecond = 10; ///< By all instances together. Only the holder calls.
};

/// Sends calls to the platform while this instance holds the order right, within the rate that the platform allows. Calls
/// are not retried.
class DutyClient {
public:
    DutyClient(http1::ClientPool& pool, OrderWindow& window, DutyOptions options, metrics::Registry& metrics);

    /// Cancels all calls in progress.
    void onLeadership();
    /// Prepares a call: claims the order right or opens the order window if necessary. Returns whether a call may be sent
    /// now; must be called directly before each one.
    [[nodiscard]] bool prepareCall();
    /// Sends a call and calls back with the status of the answer, 0 without a complete one.
    void call(const http1::Request& request, const std::function<void(unsigned)>& onAnswer);
    [[nodiscard]] DutyHolder holder() const { return { m_window.instance(), m_window.fence() }; }

private:
    void onEnd(std::uint64_t number, const http1::CallEnd& end, unsigned status, const std::function<void(unsigned)>& onAnswer);

    http1::ClientPool& m_pool;
    OrderWindow& m_window;
    const DutyOptions m_options;
    metrics::Registry& m_metrics;
    const SystemClock m_clock {};
    std::map<std::uint64_t, http1::ClientCallPointer> m_inProgress; ///< Calls without an answer, by number.
    std::uint64_t m_nextNumber = 1;
    TimePoint m_nextCall {};
};

}
