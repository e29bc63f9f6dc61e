#include "azurepaddle/pipeline/suspicion.hpp"

#include <algorithm>
#include <thread>

namespace azurepaddle::pipeline {

namespace {

    constexpr Duration trialPoll = std::chrono::milliseconds(100);
    constexpr Duration recordTimeout = std::chrono::seconds(20);

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

PipelineResult<control::Epoch> Suspicion::begin(const WorkItem& item, const routing::Fingerprint& fingerprint) const
{
    if (!m_tracker.isSuspect(fingerprint))
        return 0;
    const SystemClock clock;
    while (clock.now() < item.deadline) {
        const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(item.deadline - clock.now());
        const control::AcquireTrial command { inLog(fingerprint), m_control.self, std::min<control::Milliseconds>(remaining.count(), control::maxLease) };
        const auto reply = submitFor<control::SuspectReply>(m_control, command, item.deadline);
        if (!reply)
            return refuse(reply.error().code(), reply.error().message(), std::chrono::seconds(1));
        switch (reply->status) {
        case control::SuspectStatus::TrialGranted:
            return reply->epoch;
        case control::SuspectStatus::Blocked:
            return blocked(Outcome::NotRun);
        case control::SuspectStatus::TrialBusy:
            std::this_thread::sleep_for(trialPoll);
            continue;
        default:
            m_tracker.clear(fingerprint);
            return 0;
        }
    }
    return refuse(PipelineErrorCode::DeadlineExceeded, "the deadline passed while the request waited for its turn as a suspect", std::chrono::seconds(1));
}

void Suspicion::finish(const routing::Fingerprint& fingerprint, control::Epoch epoch, control::TrialResult result, const EndpointId& endpoint) const
{
    if (epoch == 0)
        return;
    const control::FinishTrial command { inLog(fingerprint), epoch, result, endpoint };
    static_cast<void>(m_control.submit(command, SystemClock().now() + recordTimeout));
    if (result == control::TrialResult::Clean)
        m_tracker.clear(fingerprint);
}

PipelineResult<void> Suspicion::report(
    const WorkItem& item, const routing::Fingerprint& fingerprint, control::Epoch trial, const EndpointId& endpoint) const
{
    m_tracker.addSuspect(fingerprint);
    m_announce(fingerprint);
    const TimePoint deadline = std::max(item.deadline, SystemClock().now() + recordTimeout);
    const auto reply = trial == 0
        ? submitFor<control::SuspectReply>(m_control, control::ReportSuspect { inLog(fingerprint), endpoint, item.tenant }, deadline)
        : submitFor<control::SuspectReply>(m_control, control::FinishTrial { inLog(fingerprint), trial, control::TrialResult::Crashed, endpoint }, deadline);
    if (!reply)
        return fail(reply.error().code(), Outcome::Unknown, "the endpoint died and the log could not record it: " + reply.error().message());
    if (reply->status == control::SuspectStatus::Blocked)
        return blocked(Outcome::Failed);
    return {};
}

}
