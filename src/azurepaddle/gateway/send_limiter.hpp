#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/log.hpp"
#include "azurepaddle/core/random.hpp"
#include "azurepaddle/registry/requests.hpp"

#include <functional>
#include <set>

namespace azurepaddle::gateway {

/// Receives the reply to a request for a permit and the present time; no reply if nobody grants permits at present.
using PermitCallback = std::function<void(const std::optional<registry::PermitReply>&, TimePoint)>;
/// Requests a permit for one request. Calls back once, before or after it returns.
using PermitRequester = std::function<void(const registry::PermitRequest&, TimePoint deadline, const PermitCallback&)>;

/// Keeps what this instance sends to endpoints within the limits that they name. Such a limit is for all instances
/// together: each request needs a permit, which the leader grants. While nobody grants permits, this instance uses its
/// share of the limit: one request in the time in which all instances together may send one each, at a random moment of
/// it, which it does not save up.
class SendLimiter {
public:
    SendLimiter(std::string instance, PermitRequester requester, Random& random);

    /// Records what an answer says of its endpoint: the requests per second that it takes from all instances together,
    /// or nothing if it names no limit (any more). An answer to a request that was sent before the limit was named does
    /// not end the limit.
    void recordAnswer(const registry::EndpointIncarnation& endpoint, std::optional<double> requestsPerSecond, TimePoint sentAt, TimePoint now);
    /// Whether a request to the endpoint needs a permit.
    [[nodiscard]] bool isLimited(const registry::EndpointRecord& endpoint) const;
    /// The endpoints that name a limit.
    [[nodiscard]] std::set<EndpointId> limited() const;
    /// The limited endpoints to which nothing may be sent now, each with the time of the next permit.
    [[nodiscard]] std::map<EndpointId, TimePoint> blocked(TimePoint now) const;
    /// Requests a permit for one request to a limited endpoint, which must be sent at once if it is granted.
    void acquire(const registry::EndpointIncarnation& endpoint, TimePoint now, TimePoint deadline, const std::function<void(bool isGranted)>& onDecision);

private:
    struct Limit {
        std::uint64_t startedMs = 0;
        double requestsPerSecond = 0;
        TimePoint namedAt {};
        TimePoint blockedUntil {};
        std::optional<TimePoint> ownTurn; ///< Start of this instance's next turn while nobody grants permits.
    };

    void onReply(const registry::EndpointIncarnation& endpoint, const std::optional<registry::PermitReply>& reply, TimePoint now, const std::function<void(bool)>& onDecision);
    [[nodiscard]] bool takeOwnTurn(Limit& limit, TimePoint now);
    [[nodiscard]] Limit* find(const registry::EndpointIncarnation& endpoint);

    const Log m_log { "limits" };
    std::string m_instance;
    PermitRequester m_requester;
    Random& m_random;
    std::map<EndpointId, Limit> m_limits;
    std::uint32_t m_instances;
    TimePoint m_noPermitsUntil {}; ///< Until then nobody is asked for permits.
};

}
