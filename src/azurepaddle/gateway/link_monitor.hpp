#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/registry/endpoint.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace azurepaddle::gateway {

enum class LinkState : std::uint8_t {
    Up,
    Cut, ///< This instance reaches no endpoint, although the endpoints send heartbeats.
};

/// Decides from the links of an instance as a whole whether it is cut off from the endpoints. One endpoint that cannot be
/// reached says little, because it may have crashed. A failure therefore starts a round of probes of several endpoints,
/// in as many data centres as possible. If none of them can be reached, the round goes on with the other endpoints,
/// because the probed ones may be just those that crashed; the links are cut if none of these can be reached either.
/// While they are cut, further rounds detect the end of the cut. The endpoints are those with recent heartbeats. Uses no
/// network.
class LinkMonitor {
public:
    /// Records that a connection to an endpoint was established, or that bytes of an endpoint arrived.
    void recordContact();
    /// Records that a connection could not be established or broke.
    void recordFailure(TimePoint now);
    /// Whether a round of probes should begin now.
    [[nodiscard]] bool isRoundDue(TimePoint now) const noexcept;
    /// Begins a round. Returns the endpoints to probe first; a call of `recordProbe` must follow for each.
    [[nodiscard]] std::vector<registry::EndpointRecord> beginRound(const std::vector<registry::EndpointRecord>& endpoints, TimePoint now);
    /// Returns further endpoints to probe in the current round, if the probes so far have failed and endpoints are left;
    /// a call of `recordProbe` must follow for each.
    [[nodiscard]] std::vector<registry::EndpointRecord> continueRound();
    /// Records the outcome of one probe of the current round. Returns the state if it changed.
    [[nodiscard]] std::optional<LinkState> recordProbe(bool isReachable);

    [[nodiscard]] LinkState state() const noexcept { return m_state; }
    [[nodiscard]] bool isRoundInProgress() const noexcept { return m_pendingProbes > 0 || !m_unprobed.empty(); }
    /// Time of the next round while the links are cut.
    [[nodiscard]] TimePoint nextRound() const noexcept { return m_nextRound; }

private:
    [[nodiscard]] std::vector<registry::EndpointRecord> chooseProbes(const std::vector<registry::EndpointRecord>& endpoints, std::size_t most);
    [[nodiscard]] std::vector<registry::EndpointRecord> takeProbes(std::size_t most);
    [[nodiscard]] std::optional<LinkState> endRound();

    LinkState m_state = LinkState::Up;
    bool m_isSuspected = false; ///< A failure was recorded since the last round.
    TimePoint m_nextRound {};
    std::size_t m_rotation = 0; ///< Changes with each round, so that rounds probe different endpoints.
    std::vector<registry::EndpointRecord> m_unprobed; ///< Endpoints that are probed in the current round if the others cannot be reached.
    std::size_t m_pendingProbes = 0;
    std::size_t m_probedEndpoints = 0;
    bool m_wasReachable = false; ///< An endpoint was reached since the current round began.
};

}
