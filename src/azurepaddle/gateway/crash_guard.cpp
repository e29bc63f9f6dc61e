#include "azurepaddle/gateway/crash_guard.hpp"

namespace azurepaddle::gateway {

namespace {

    // Within this time a crash report is committed and its result returned to this instance, unless there is no leader.
    constexpr std::uint64_t maxAgreementMs = 5000;

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

void CrashGuard::sendReport(const registry::SuspectsRequest& report) const
{
    if (m_onReport)
        m_onReport(report);
}

void CrashGuard::setAgreedSuspects(const std::vector<registry::SuspectEntry>& suspects, TimePoint now)
{
    m_agreedSuspects.clear();
    for (const registry::SuspectEntry& suspect : suspects)
        m_agreedSuspects[suspect.request] = now + std::chrono::milliseconds(suspect.refusedForMs);
}

void CrashGuard::expireLocalSuspects()
{
    m_localSuspects.expireBefore(unixMs() - maxAgreementMs);
}

bool CrashGuard::isSuspect(const registry::RequestFingerprint& request) const
{
    return m_agreedSuspects.contains(request) || m_localSuspects.find(request);
}

std::optional<Duration> CrashGuard::remainingRefusal(const registry::RequestFingerprint& request, TimePoint now) const
{
    const auto agreed = m_agreedSuspects.find(request);
    if (agreed != m_agreedSuspects.end() && now < agreed->second)
        return agreed->second - now;
    const std::uint64_t remainingMs = m_localSuspects.refusedForMs(request, unixMs());
    return remainingMs > 0 ? std::optional<Duration>(std::chrono::milliseconds(remainingMs)) : std::nullopt;
}

void CrashGuard::onCrash(const registry::EndpointCrash& crash)
{
    m_localSuspects.add(crash, unixMs());
    sendReport({ { crash }, {} });
}

void CrashGuard::recordLostRequest(const registry::EndpointRecord& endpoint, const registry::RequestFingerprint& request)
{
    const bool wasAnsweredRecently = m_recentAnswers.contains(request, m_clock.now());
    m_watch.recordLostRequest(endpoint, wasAnsweredRecently ? std::nullopt : std::optional(request));
}

void CrashGuard::recordAnswer(const registry::RequestFingerprint& request)
{
    m_recentAnswers.add(request, m_clock.now());
    if (!isSuspect(request))
        return;
    m_localSuspects.clear(request);
    m_agreedSuspects.erase(request);
    sendReport({ {}, { request } });
}

}
