#pragma once

#include "azurepaddle/core/random.hpp"
#include "azurepaddle/membership/directory_state.hpp"

#include <optional>
#include <utility>
#include <vector>

namespace azurepaddle::membership {

/// The endpoints of all services with their leases and loads. Thread-safe if the clock is.
///
/// Endpoints announce themselves to any instance once a second. Instances pull changes from each other: `makeRequest`
/// at one, `answer` at the other, `merge` at the first. A lease starts with the receipt of the announcement and is
/// measured by the local clock of each instance: an answer contains the remaining time, which the requester counts from
/// the time of its request, so that neither clock differences nor slow answers prolong a lease.
template <typename ClockType>
class EndpointDirectory {
public:
    /// The clock must outlive the directory. The random source is only used for the epoch, by which peers detect a
    /// restart.
    template <RandomSource RandomType>
    EndpointDirectory(DirectoryOptions options, const ClockType& clock, RandomType& random)
        : m_clock(clock)
        , m_state(std::move(options), random.next())
    {
        static_assert(Clock<ClockType>);
    }

    /// Registers an endpoint or renews its lease. The newest (incarnation, sequence) wins; older ones are Superseded.
    /// Fails with Left if the endpoint left with the same incarnation.
    [[nodiscard]] tl::expected<void, DirectoryError> announce(const EndpointAnnouncement& announcement)
    {
        return m_state.announce(announcement, m_clock.now());
    }

    /// Ends the lease of an endpoint permanently for this incarnation, by default the one in the directory. Fails with
    /// Unknown if the endpoint is not in the directory and no incarnation is given.
    [[nodiscard]] tl::expected<void, DirectoryError> leave(const EndpointId& id, std::optional<std::uint64_t> incarnation = std::nullopt)
    {
        return m_state.leave(id, incarnation, m_clock.now());
    }

    /// Sets or clears the operators' drain mark, which persists over restarts of the endpoint.
    void setDraining(const EndpointId& id, bool draining) { m_state.setDraining(id, draining, m_clock.now()); }

    /// Removes candidates whose lease expired and records whose retention ended. Returns the endpoints whose lease
    /// expired since the last call. Call it once a second; `candidates` omits expired leases independently of it.
    [[nodiscard]] std::vector<EndpointId> expire() { return m_state.expire(m_clock.now()); }

    /// The endpoints that may get new work, at most DirectoryOptions::candidateLimit, those of the own data centre
    /// first. The choice depends only on the identifiers of the instance and the endpoints.
    [[nodiscard]] CandidateList candidates(const ServiceName& service) const { return m_state.candidates(service, m_clock.now()); }

    /// The newest record of an endpoint, also after its lease expired. Null if the endpoint is not in the directory.
    [[nodiscard]] EndpointPointer find(const EndpointId& id) const { return m_state.find(id); }

    /// The states of all endpoints, for operators.
    [[nodiscard]] std::vector<EndpointStatus> statuses() const { return m_state.statuses(m_clock.now()); }

    /// The version of the newest change.
    [[nodiscard]] std::uint64_t version() const { return m_state.version(); }

    /// Creates the request that continues after the last batch merged from the peer. Take the time before sending it,
    /// for `merge`.
    [[nodiscard]] DeltaRequest makeRequest(const InstanceId& peer, DeltaScope scope) { return m_state.makeRequest(peer, scope); }

    /// Creates the answer to a peer's request. If `hasMore` is set, the peer should send its next request immediately.
    [[nodiscard]] DeltaBatch answer(const DeltaRequest& request) { return m_state.answer(request, m_clock.now()); }

    /// All changes after the version of this directory.
    [[nodiscard]] DeltaBatch deltasSince(std::uint64_t version)
    {
        DeltaRequest request;
        request.epoch = m_state.epoch();
        request.sinceVersion = version;
        request.scope = static_cast<std::uint8_t>(DeltaScope::All);
        return answer(request);
    }

    /// Applies a peer's batch; its request was sent at the given local time.
    void merge(const DeltaBatch& batch, TimePoint requestedAt) { m_state.merge(batch, requestedAt, m_clock.now()); }

    /// Applies a batch whose request and answer took no noticeable time.
    void merge(const DeltaBatch& batch) { merge(batch, m_clock.now()); }

private:
    const ClockType& m_clock;
    internal::DirectoryState m_state;
};

}
