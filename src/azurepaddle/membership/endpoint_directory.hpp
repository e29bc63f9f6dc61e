#pragma once

#include "azurepaddle/core/random.hpp"
#include "azurepaddle/membership/directory_state.hpp"

#include <optional>
#include <utility>
#include <vector>

namespace azurepaddle::membership {

/// The endpoints of all services with their leases and loads. Thread-safe if the clock is.
///
/// Endpoints announce themselves to any instance once a second. Instances pull changes from each other:
/// `makeRequest` at one, `answer` at the other, `merge` at the first. A lease counts from the receipt of the
/// announcement, by the local clock of each instance: an answer says how much remains, and the requester counts that
/// from the time of its request, so neither clock differences nor slow answers prolong a lease.
template <typename ClockType>
class EndpointDirectory {
public:
    /// The clock must outlive the directory. The random source only gives the epoch that tells a restart from peers.
    template <RandomSource RandomType>
    EndpointDirectory(DirectoryOptions options, const ClockType& clock, RandomType& random)
        : m_clock(clock)
        , m_state(std::move(options), random.next())
    {
        static_assert(Clock<ClockType>);
    }

    /// Registers an endpoint or renews its lease. The newest (incarnation, sequence) wins; Left after a leave under the
    /// same incarnation.
    [[nodiscard]] tl::expected<void, DirectoryError> announce(const EndpointAnnouncement& announcement)
    {
        return m_state.announce(announcement, m_clock.now());
    }

    /// Ends the lease of an endpoint for good under this incarnation, by default the one known here. Unknown if the
    /// endpoint is not known and no incarnation is given.
    [[nodiscard]] tl::expected<void, DirectoryError> leave(const EndpointId& id, std::optional<std::uint64_t> incarnation = std::nullopt)
    {
        return m_state.leave(id, incarnation, m_clock.now());
    }

    /// Sets or clears the operators' drain mark, which also outlives restarts of the endpoint.
    void setDraining(const EndpointId& id, bool draining) { m_state.setDraining(id, draining, m_clock.now()); }

    /// Drops what is past its lease or retention and returns the endpoints whose lease ended since the last call.
    /// Candidates do not depend on it; call it once a second.
    [[nodiscard]] std::vector<EndpointId> expire() { return m_state.expire(m_clock.now()); }

    /// The endpoints that may get new work, at most DirectoryOptions::candidateLimit, those of the own data centre
    /// first. Which ones depends only on the names of instance and endpoints.
    [[nodiscard]] CandidateList candidates(const ServiceName& service) const { return m_state.candidates(service, m_clock.now()); }

    /// The newest record of an endpoint, also after its lease. Nothing if it is not known.
    [[nodiscard]] EndpointPointer find(const EndpointId& id) const { return m_state.find(id); }

    /// All endpoints, for operators.
    [[nodiscard]] std::vector<EndpointStatus> statuses() const { return m_state.statuses(m_clock.now()); }

    /// The version that the newest change got.
    [[nodiscard]] std::uint64_t version() const { return m_state.version(); }

    /// The request that continues where the last batch merged from the peer ended. Note the time before sending it.
    [[nodiscard]] DeltaRequest makeRequest(const InstanceId& peer, DeltaScope scope) { return m_state.makeRequest(peer, scope); }

    /// The answer to a peer's request. If it says that more follows, the peer should ask again at once.
    [[nodiscard]] DeltaBatch answer(const DeltaRequest& request) { return m_state.answer(request, m_clock.now()); }

    /// All changes after the version of this directory.
    [[nodiscard]] DeltaBatch deltasSince(std::uint64_t version)
    {
        DeltaRequest request;
        request.epoch = m_state.epoch();
        request.since = version;
        request.scope = static_cast<std::uint8_t>(DeltaScope::All);
        return answer(request);
    }

    /// Applies a peer's batch that was requested at this local time.
    void merge(const DeltaBatch& batch, TimePoint requestedAt) { m_state.merge(batch, requestedAt, m_clock.now()); }

    /// Applies a batch that is known to be fresh.
    void merge(const DeltaBatch& batch) { merge(batch, m_clock.now()); }

private:
    const ClockType& m_clock;
    internal::DirectoryState m_state;
};

}
