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

/// The fingerprint of a request: a digest of its method, host, target, credential and body.
[[nodiscard]] registry::RequestFingerprint fingerprintOf(const http1::Request& request);

/// Tells endpoints that crashed from connections that only broke. A lost connection proves little: endpoints close idle
/// connections, spoil answers, and links are cut. So the endpoint is probed, and if no process listens there any more, the
/// requests that were in progress are reported together with it.
class CrashWatch {
public:
    using Probe = std::function<void(const InstanceAddress&, http1::ProbeCallback)>;

    CrashWatch(Probe probe, metrics::Registry& metrics);

    /// Called with each endpoint that crashed under requests.
    void setOnCrash(std::function<void(const registry::EndpointCrash&)> onCrash) { m_onCrash = std::move(onCrash); }
    /// Notes that a connection to an endpoint ended without an answer to a request; nothing if the request is known to be
    /// sound.
    void noteLost(const registry::EndpointRecord& endpoint, const std::optional<registry::RequestFingerprint>& request);

private:
    using Incarnation = std::pair<EndpointId, std::uint64_t>;

    void onProbed(const Incarnation& incarnation, http1::ProbeOutcome outcome);

    Probe m_probe;
    metrics::Registry& m_metrics;
    const Log m_log { "crash" };
    std::function<void(const registry::EndpointCrash&)> m_onCrash;
    std::map<Incarnation, std::set<registry::RequestFingerprint>> m_probed; ///< Requests lost at endpoints being probed.
};

}
