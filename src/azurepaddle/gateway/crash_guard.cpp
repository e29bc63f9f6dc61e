#include "azurepaddle/gateway/crash_guard.hpp"

namespace azurepaddle::gateway {

namespace {

    // A report is agreed on and back within this time, unless nobody leads.
    constexpr std::uint64_t agreementMs = 5000;

}

CrashGuard::CrashGuard(CrashWatch::Probe probe, metrics::Registry& metrics)
    : m_watch(std::move(probe), metrics)
{
    m_watch.setOnCrash([this](const registry::EndpointCrash& crash) { onCrash(crash); });
}

std::uint64_t CrashGuard::unixMs() const
{
    return static_cast<std::uint64_t>(m_clock.wallNow().time_since_epoch().count());
}

void CrashGuard::tell(const registry::SuspectsRequest& report) const
{
    if (m_onReport)
        m_onReport(report);
}

void CrashGuard::setAgreed(const std::vector<registry::SuspectEntry>& suspects, TimePoint now)
{
    m_agreed.clear();
    for (const registry::SuspectEntry& suspect : suspects)
        m_agreed[suspect.request] = now + std::chrono::milliseconds(suspect.refusedForMs);
}

void CrashGuard::noteContact()
{
    m_own.expireBefore(unixMs() - agreementMs);
}

bool CrashGuard::isSuspect(const registry::RequestFingerprint& request) const
{
    return m_agreed.contains(request) || m_own.find(request);
}

std::optional<Duration> CrashGuard::refusedFor(const registry::RequestFingerprint& request, TimePoint now) const
{
    const auto agreed = m_agreed.find(request);
    if (agreed != m_agreed.end() && now < agreed->second)
        return agreed->second - now;
    const std::uint64_t leftMs = m_own.refusedForMs(request, unixMs());
    return leftMs > 0 ? std::optional<Duration>(std::chrono::milliseconds(leftMs)) : std::nullopt;
}

void CrashGuard::onCrash(const registry::EndpointCrash& crash)
{
    m_own.add(crash, unixMs());
    tell({ { crash }, {} });
}

void CrashGuard::noteLost(const registry::EndpointRecord& endpoint, const registry::RequestFingerprint& request)
{
    const bool isSound = m_answered.contains(request, m_clock.now());
    m_watch.noteLost(endpoint, isSound ? std::nullopt : std::optional(request));
}

void CrashGuard::noteAnswered(const registry::RequestFingerprint& request)
{
    m_answered.add(request, m_clock.now());
    if (!isSuspect(request))
        return;
    m_own.clear(request);
    m_agreed.erase(request);
    tell({ {}, { request } });
}

}
