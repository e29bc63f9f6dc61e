#include "azurepaddle/pipeline/suspicion.hpp"

#include <algorithm>

namespace azurepaddle::pipeline {

namespace {

    // A trial without a result, because its instance failed, counts as a crash after this time. A clean result that
    // arrives later clears the crash.
    constexpr control::Milliseconds maxTrialMs = 120'000;
    constexpr Duration foregroundTimeout = std::chrono::seconds(5);
    constexpr Duration backgroundTimeout = std::chrono::seconds(60);

    control::Fingerprint toControlFingerprint(const routing::Fingerprint& fingerprint)
    {
        return control::Fingerprint(fingerprint.value());
    }

    tl::unexpected<PipelineError> blockedError(Outcome outcome)
    {
        return fail(PipelineErrorCode::Blocked, outcome, "two endpoints crashed while they ran this request; an operator can unblock it");
    }

}

routing::Fingerprint SuspectRequestGuard::fingerprintOf(const WorkItem& item)
{
    return routing::fingerprintOf(item.tenant, item.service.value(), item.isEngine ? item.generation.fields : item.path + "\n" + item.body);
}

PipelineResult<std::optional<control::Epoch>> SuspectRequestGuard::beginTrial(
    const WorkItem& item, const routing::Fingerprint& fingerprint, const EndpointId& endpoint) const
{
    if (!m_tracker.isSuspect(fingerprint))
        return std::optional<control::Epoch>(0);
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(item.deadline - SystemClock().now());
    const control::AcquireTrial command { toControlFingerprint(fingerprint), m_control.self, std::clamp<control::Milliseconds>(remaining.count(), 1, maxTrialMs), endpoint };
    const auto reply = submitFor<control::SuspectReply>(m_control, command, item.deadline);
    if (!reply)
        return refuse(reply.error().code(), reply.error().message(), std::chrono::seconds(1));
    switch (reply->status) {
    case control::SuspectStatus::TrialGranted:
        return std::optional<control::Epoch>(reply->epoch);
    case control::SuspectStatus::Blocked:
        return blockedError(Outcome::NotRun);
    case control::SuspectStatus::TrialInProgress:
        return std::optional<control::Epoch>();
    default:
        m_tracker.clear(fingerprint);
        return std::optional<control::Epoch>(0);
    }
}

void SuspectRequestGuard::finishTrial(const routing::Fingerprint& fingerprint, control::Epoch epoch, control::TrialResult result, const EndpointId& endpoint) const
{
    if (epoch == 0)
        return;
    const control::FinishTrial command { toControlFingerprint(fingerprint), epoch, result, endpoint, 0 };
    deferOrRun(m_control, [control = m_control, command] { static_cast<void>(control.submit(command, SystemClock().now() + backgroundTimeout)); });
    if (result == control::TrialResult::Clean)
        m_tracker.clear(fingerprint);
}

PipelineResult<void> SuspectRequestGuard::reportCrash(
    const WorkItem& item, const routing::Fingerprint& fingerprint, control::Epoch trial, const control::CrashEvent& crash) const
{
    m_tracker.addSuspect(fingerprint);
    m_onNewSuspect(fingerprint);
    const control::ControlAction action = trial == 0
        ? control::ControlAction(control::ReportSuspect { toControlFingerprint(fingerprint), crash.endpoint, item.tenant, crash.incarnation })
        : control::ControlAction(control::FinishTrial { toControlFingerprint(fingerprint), trial, control::TrialResult::Crashed, crash.endpoint, crash.incarnation });
    const auto reply = submitFor<control::SuspectReply>(m_control, action, std::min(item.deadline, SystemClock().now() + foregroundTimeout));
    if (!reply) {
        // The client receives its response now. The crash is recorded in the background, because the client may send
        // the request again.
        deferOrRun(m_control, [control = m_control, action] { static_cast<void>(control.submit(action, SystemClock().now() + backgroundTimeout)); });
        return fail(reply.error().code(), Outcome::Unknown, "the endpoint died and the log could not record it: " + reply.error().message());
    }
    if (reply->status == control::SuspectStatus::Blocked)
        return blockedError(Outcome::Failed);
    return {};
}

}
