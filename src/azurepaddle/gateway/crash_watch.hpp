#pragma once

#include "azurepaddle/core/log.hpp"
#include "azurepaddle/http1/connection_probe.hpp"
#include "azurepaddle/http1/message.hpp"
#include "azurepaddle/metrics/registry.hpp"
#include "azurepaddle/registry/crash.hpp"
#include "azurepaddle/registry/endpoint.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace azurepaddle::gateway {

/// The fingerprint of a request: a digest of its method, host, target, credential or workspace, and body.
[[nodiscard]] registry::RequestFingerprint fingerprintOf(const http1::Request& request, const WorkspaceName& workspace = {});

/// Distinguishes crashed endpoints from lost connections. A lost connection alone is no evidence of a crash: endpoints
/// close idle connections or send malformed answers, and links fail. The endpoint is therefore probed, and if the
/// connection is refused because no process listens there any more, the crash is reported with the requests that were
/// in progress.
class CrashWatch {
public:
    using Probe = std::function<void(const InstanceAddress&, http1::ProbeCallback)>;

    CrashWatch(Probe probe, metrics::Registry& metrics);

    /// Called with each endpoint that crashed while it ran requests.
    void setOnCrash(std::function<void(const registry::EndpointCrash&)> onCrash) { m_onCrash = std::move(onCrash); }
    /// Records that a connection to an endpoint ended without an answer to a request. The request is empty if it is
    /// known not to crash endpoints.
    void recordLostRequest(const registry::EndpointRecord& endpoint, const std::optional<registry::RequestFingerprint>& request);

private:
    using Incarnation = std::pair<EndpointId, std::uint64_t>;

    void onProbed(const Incarnation& incarnation, http1::ProbeOutcome outcome);

    Probe m_probe;
    metrics::Registry& m_metrics;
    const Log m_log { "crash" };
    std::function<void(const registry::EndpointCrash&)> m_onCrash;
    std::map<Incarnation, std::set<registry::RequestFingerprint>> m_lostRequests; ///< Requests lost at endpoints being probed.
};

}
