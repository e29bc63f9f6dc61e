#include "azurepaddle/gateway/crash_probe.hpp"

#include "azurepaddle/core/run_after.hpp"

namespace azurepaddle::gateway {

namespace {

    // An endpoint that restarted is listed with its new incarnation within this time.
    constexpr Duration registrationTime = std::chrono::milliseconds(1500);

}

void CrashProbe::probe(const InstanceAddress& address, const http1::ProbeCallback& onOutcome)
{
    const auto before = m_balancer.incarnationAt(address);
    m_probe(address, [this, address, before, onOutcome](http1::ProbeOutcome outcome) {
        if (outcome != http1::ProbeOutcome::Refused)
            return onOutcome(outcome);
        m_links.whenUp([this, address, before, onOutcome](bool wereCut) {
            if (!wereCut)
                return onOutcome(http1::ProbeOutcome::Refused);
            runAfter(m_io, registrationTime, [this, address, before, onOutcome] { probeAfterCut(address, before, onOutcome); });
        });
    });
}

void CrashProbe::probeAfterCut(const InstanceAddress& address, const std::optional<registry::EndpointIncarnation>& before, const http1::ProbeCallback& onOutcome)
{
    if (m_balancer.incarnationAt(address) != before)
        return onOutcome(http1::ProbeOutcome::Refused);
    m_probe(address, onOutcome);
}

}
