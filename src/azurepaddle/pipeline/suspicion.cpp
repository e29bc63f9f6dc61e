#include "azurepaddle/pipeline/suspicion.hpp"

#include <algorithm>

namespace azurepaddle::pipeline {

namespace {

    // A trial whose instance died counts as a crash after this time; a clean result that comes later clears it.
    constexpr control::Milliseconds longestTrialMs = 120'000;
    constexpr Duration inlineTimeout = std::chrono::seconds(5);
    constexpr Duration recordTimeout = std::chrono::seconds(60);

    control::Fingerprint inLog(const routing::Fingerprint& fingerprint)
    {
        return control::Fingerprint(fingerprint.value());
    }

    tl::unexpected<PipelineError> blocked(Outcome outcome)
    {
        return fail(PipelineErrorCode::Blocked, outcome, "two endpoints crashed while they ran this request; an operator can unblock it");
    }

}

routing::Fingerprint Suspicion::fingerprintOf(const WorkItem& item)
{
    return routing::fingerprintOf(item.tenant, item.service.value(), item.isEngine ? item.generation.fields : item.path + "\n" + item.body);
}

PipelineResult<std::optional<control::Epoch>> Suspicion::begin(
    const WorkItem& item, const routing::Fingerprint& fingerprint, const EndpointId& endpoint) const
{
    if (!m_tracker.isSuspect(fingerprint))
        return std::optional<control::Epoch>(0);
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(item.deadline - SystemClock().now());
    const control::AcquireTrial command { inLog(fingerprint), m_control.self, std::clamp<control::Milliseconds>(remaining.count(), 1, longestTrialMs), endpoint };
    const auto reply = submitFor<control::SuspectReply>(m_control, command, item.deadline);
    if (!reply)
        return refuse(reply.error().code(), reply.error().message(), std::chrono::seconds(1));
    switch (reply->status) {
    case control::SuspectStatus::TrialGranted:
        return std::optional<control::Epoch>(reply->epoch);
    case control::SuspectStatus::Blocked:
        return blocked(Outcome::NotRun);
    case control::SuspectStatus::TrialInProgress:
        return std::optional<control::Epoch>();
    default:
        m_tracker.clear(fingerprint);
        return std::optional<control::Epoch>(0);
    }
}

void Suspicion::finish(const routing::Fingerprint& fingerprint, control::Epoch epoch, control::TrialResult result, const EndpointId& endpoint) const
{
    if (epoch == 0)
        return;
    const control::FinishTrial command { inLog(fingerprint), epoch, result, endpoint, 0 };
    deferOrRun(m_control, [control = m_control, command] { static_cast<void>(control.submit(command, SystemClock().now() + recordTimeout)); });
    if (result == control::TrialResult::Clean)
        m_tracker.clear(fingerprint);
}

PipelineResult<void> Suspicion::report(
    const WorkItem& item, const routing::Fingerprint& fingerprint, control::Epoch trial, const control::CrashEvent& crash) const
{
    m_tracker.addSuspect(fingerprint);
    m_announce(fingerprint);
    const control::ControlAction action = trial == 0
        ? control::ControlAction(control::ReportSuspect { inLog(fingerprint), crash.endpoint, item.tenant, crash.incarnation })
        : control::ControlAction(control::FinishTrial { inLog(fingerprint), trial, control::TrialResult::Crashed, crash.endpoint, crash.incarnation });
    const auto reply = submitFor<control::SuspectReply>(m_control, action, std::min(item.deadline, SystemClock().now() + inlineTimeout));
    if (!reply) {
        // The caller gets its answer now; the crash is still recorded, because the caller may send the request again.
        deferOrRun(m_control, [control = m_control, action] { static_cast<void>(control.submit(action, SystemClock().now() + recordTimeout)); });
        return fail(reply.error().code(), Outcome::Unknown, "the endpoint died and the log could not record it: " + reply.error().message());
    }
    if (reply->status == control::SuspectStatus::Blocked)
        return blocked(Outcome::Failed);
    return {};
}

}
