#pragma once

#include "azurepaddle/gateway/balancer.hpp"
#include "azurepaddle/gateway/crash_watch.hpp"
#include "azurepaddle/gateway/link_prober.hpp"

namespace azurepaddle::gateway {

/// Probes an endpoint that broke a connection. Where links refuse connections, an instance that is cut off from all
/// endpoints would take each of them for crashed and suspect harmless requests. The outcome is therefore withheld until
/// the links are known to be up. An endpoint that restarted meanwhile has crashed; any other one is probed again.
class CrashProbe {
public:
    CrashProbe(asio::io_context& io, CrashWatch::Probe probe, LinkProber& links, const Balancer& balancer)
        : m_io(io)
        , m_probe(std::move(probe))
        , m_links(links)
        , m_balancer(balancer)
    {
    }

    void probe(const InstanceAddress& address, const http1::ProbeCallback& onOutcome);

private:
    void probeAfterCut(const InstanceAddress& address, const std::optional<registry::EndpointIncarnation>& before, const http1::ProbeCallback& onOutcome);

    asio::io_context& m_io;
    CrashWatch::Probe m_probe;
    LinkProber& m_links;
    const Balancer& m_balancer;
};

}
