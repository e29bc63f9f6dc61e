#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/gateway/crash_watch.hpp"
#include "azurepaddle/gateway/recent_answers.hpp"
#include "azurepaddle/registry/requests.hpp"
#include "azurepaddle/registry/suspects.hpp"

namespace azurepaddle::gateway {

/// Prevents requests that crash endpoints from being sent to further endpoints. A request is refused by the suspects
/// that all instances agreed on, and by the crashes that this instance observed itself, so that it is also refused
/// while the other instances are unreachable.
class CrashGuard {
public:
    CrashGuard(CrashWatch::Probe probe, metrics::Registry& metrics);

    /// Called with each report to send to the other instances.
    void setOnReport(std::function<void(const registry::SuspectsRequest&)> onReport) { m_onReport = std::move(onReport); }
    /// Replaces the suspects that all instances agreed on.
    void setAgreedSuspects(const std::vector<registry::SuspectEntry>& suspects, TimePoint now);
    /// Drops old local observations. Call it when the other instances are reachable: they have agreed on what was
    /// reported some time ago, or cleared it.
    void expireLocalSuspects();

    /// Whether any request is suspected.
    [[nodiscard]] bool hasSuspects() const noexcept { return !m_agreedSuspects.empty() || !m_localSuspects.all().empty(); }
    /// Whether an endpoint crashed while it ran the request and no endpoint has answered the request completely since.
    [[nodiscard]] bool isSuspect(const registry::RequestFingerprint& request) const;
    /// Time for which the request is still refused; nothing if it may be sent.
    [[nodiscard]] std::optional<Duration> remainingRefusal(const registry::RequestFingerprint& request, TimePoint now) const;

    /// Records that a connection to an endpoint ended without an answer to a request. A request that was answered
    /// completely a short time ago is not suspected: many callers may send the same request, and all endpoints may
    /// crash at once for another reason.
    void recordLostRequest(const registry::EndpointRecord& endpoint, const registry::RequestFingerprint& request);
    /// Records that an endpoint answered a request completely, and clears the request if it is suspected.
    void recordAnswer(const registry::RequestFingerprint& request);

private:
    void onCrash(const registry::EndpointCrash& crash);
    void sendReport(const registry::SuspectsRequest& report) const;
    [[nodiscard]] std::uint64_t unixMs() const;

    const SystemClock m_clock {};
    CrashWatch m_watch;
    std::map<registry::RequestFingerprint, TimePoint> m_agreedSuspects; ///< End of each request's refusal; in the past for suspects that may be sent.
    RecentAnswers m_recentAnswers;
    registry::Suspects m_localSuspects; ///< From crashes that this instance observed recently.
    std::function<void(const registry::SuspectsRequest&)> m_onReport;
};

}
