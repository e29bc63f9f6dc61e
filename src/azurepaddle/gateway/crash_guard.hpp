#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/gateway/crash_watch.hpp"
#include "azurepaddle/gateway/recent_answers.hpp"
#include "azurepaddle/registry/requests.hpp"
#include "azurepaddle/registry/suspects.hpp"

namespace azurepaddle::gateway {

/// Keeps requests that crash endpoints from endpoints. What all instances agreed on decides, and what this instance saw
/// itself, so that it also knows while it cannot reach the others.
class CrashGuard {
public:
    CrashGuard(CrashWatch::Probe probe, metrics::Registry& metrics);

    /// Called with what the other instances are to be told.
    void setOnReport(std::function<void(const registry::SuspectsRequest&)> onReport) { m_onReport = std::move(onReport); }
    /// Replaces the suspects that all instances agreed on.
    void setAgreedSuspects(const std::vector<registry::SuspectEntry>& suspects, TimePoint now);
    /// Notes that the other instances can be reached: what was seen here a while ago is agreed by now, or cleared.
    void expireLocalSuspects();

    /// Whether any request is suspected.
    [[nodiscard]] bool knowsSuspects() const noexcept { return !m_agreed.empty() || !m_own.all().empty(); }
    /// Whether an endpoint crashed under the request and it got no whole answer since.
    [[nodiscard]] bool isSuspect(const registry::RequestFingerprint& request) const;
    /// For how long the request is still refused; nothing if it may be sent.
    [[nodiscard]] std::optional<Duration> refusedFor(const registry::RequestFingerprint& request, TimePoint now) const;

    /// Notes that a connection to an endpoint ended without an answer to a request. One that was answered whole lately is
    /// not suspected: many callers may ask the same, and all endpoints may crash at once.
    void noteLost(const registry::EndpointRecord& endpoint, const registry::RequestFingerprint& request);
    /// Notes that an endpoint answered a request whole.
    void noteAnswered(const registry::RequestFingerprint& request);

private:
    void onCrash(const registry::EndpointCrash& crash);
    void tell(const registry::SuspectsRequest& report) const;
    [[nodiscard]] std::uint64_t unixMs() const;

    const SystemClock m_clock {};
    CrashWatch m_watch;
    std::map<registry::RequestFingerprint, TimePoint> m_agreed; ///< Until when each is refused; in the past for those that may be sent.
    RecentAnswers m_answered;
    registry::Suspects m_own; ///< By what this instance saw lately.
    std::function<void(const registry::SuspectsRequest&)> m_onReport;
};

}
