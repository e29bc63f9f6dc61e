#include "azurepaddle/control/suspects.hpp"

#include <algorithm>

namespace azurepaddle::control {

namespace {

    SuspectStatus statusOf(const SuspectRecord& record) noexcept
    {
        return record.isBlocked() ? SuspectStatus::Blocked : SuspectStatus::Suspected;
    }

}

SuspectReply Suspects::report(const ReportSuspect& report, LogTime now)
{
    SuspectRecord& record = m_records[report.fingerprint];
    m_evictionOrder.erase({ record.isBlocked(), record.lastEventTime, report.fingerprint });
    record.tenant = report.tenant;
    addCrash(record, { report.endpoint, report.incarnation });
    updateLastEvent(report.fingerprint, record, now);
    const SuspectReply reply { statusOf(record), 0, 0, record.crashes };
    evictOldest();
    return reply;
}

SuspectReply Suspects::acquireTrial(const AcquireTrial& request, LogTime now)
{
    const auto found = m_records.find(request.fingerprint);
    if (found == m_records.end())
        return {};
    SuspectRecord& record = found->second;
    if (record.isBlocked())
        return { SuspectStatus::Blocked, 0, 0, record.crashes };
    if (record.isTrialRunning)
        return { SuspectStatus::TrialInProgress, 0, std::max<Milliseconds>(1, record.trialExpires - now), record.crashes };
    if (hasRunningTrial(request.endpoint))
        return { SuspectStatus::TrialInProgress, 0, 1, record.crashes };
    record.isTrialRunning = true;
    record.hasTrialExpired = false;
    record.trialEndpoint = request.endpoint;
    record.holder = request.holder;
    record.epoch = ++m_lastTrialEpoch;
    record.trialExpires = now + request.duration + maxClockDifference;
    m_runningTrials.emplace(record.trialExpires, request.fingerprint);
    return { SuspectStatus::TrialGranted, record.epoch, 0, record.crashes };
}

SuspectReply Suspects::finishTrial(const FinishTrial& request, LogTime now)
{
    const auto found = m_records.find(request.fingerprint);
    if (found == m_records.end())
        return { SuspectStatus::NotHolder, 0, 0, 0 };
    SuspectRecord& record = found->second;
    if (record.epoch != request.epoch || !(record.isTrialRunning || record.hasTrialExpired))
        return { SuspectStatus::NotHolder, 0, 0, record.crashes };
    if (request.result == TrialResult::Clean) {
        eraseRecord(request.fingerprint);
        return {};
    }
    m_evictionOrder.erase({ record.isBlocked(), record.lastEventTime, request.fingerprint });
    m_runningTrials.erase({ record.trialExpires, request.fingerprint });
    const bool wasCountedAsCrash = record.hasTrialExpired;
    record.isTrialRunning = false;
    record.hasTrialExpired = false;
    if (request.result == TrialResult::Crashed && !wasCountedAsCrash)
        addCrash(record, { request.endpoint, request.incarnation });
    if (request.result == TrialResult::NotRun && wasCountedAsCrash)
        --record.crashes;
    updateLastEvent(request.fingerprint, record, now);
    return { statusOf(record), 0, 0, record.crashes };
}

SuspectReply Suspects::unblock(const UnblockSuspect& request)
{
    if (m_records.contains(request.fingerprint))
        eraseRecord(request.fingerprint);
    return {};
}

void Suspects::expire(LogTime now)
{
    while (!m_runningTrials.empty() && m_runningTrials.begin()->first <= now) {
        const Fingerprint fingerprint = m_runningTrials.begin()->second;
        m_runningTrials.erase(m_runningTrials.begin());
        SuspectRecord& record = m_records.at(fingerprint);
        m_evictionOrder.erase({ record.isBlocked(), record.lastEventTime, fingerprint });
        record.isTrialRunning = false;
        // The holder may have failed together with the endpoint. Another trial could crash a third endpoint.
        record.hasTrialExpired = true;
        ++record.crashes;
        updateLastEvent(fingerprint, record, now);
    }
}

bool Suspects::hasRunningTrial(const EndpointId& endpoint) const
{
    return !endpoint.empty() && std::any_of(m_runningTrials.begin(), m_runningTrials.end(), [&](const auto& trial) { return m_records.at(trial.second).trialEndpoint == endpoint; });
}

void Suspects::addCrash(SuspectRecord& record, const CrashEvent& crash)
{
    constexpr std::size_t maxListedCrashes = 4;
    const bool isAlreadyCounted = std::find(record.countedCrashes.begin(), record.countedCrashes.end(), crash) != record.countedCrashes.end();
    if (crash.incarnation != 0 && isAlreadyCounted)
        return;
    ++record.crashes;
    if (record.endpoints.size() < maxListedCrashes)
        record.endpoints.push_back(crash.endpoint);
    if (crash.incarnation != 0 && record.countedCrashes.size() < maxListedCrashes)
        record.countedCrashes.push_back(crash);
}

void Suspects::updateLastEvent(const Fingerprint& fingerprint, SuspectRecord& record, LogTime now)
{
    record.lastEventTime = now;
    m_evictionOrder.emplace(record.isBlocked(), now, fingerprint);
}

void Suspects::eraseRecord(const Fingerprint& fingerprint)
{
    const auto found = m_records.find(fingerprint);
    m_evictionOrder.erase({ found->second.isBlocked(), found->second.lastEventTime, fingerprint });
    m_runningTrials.erase({ found->second.trialExpires, fingerprint });
    m_records.erase(found);
}

void Suspects::evictOldest()
{
    while (m_records.size() > maxRecords) {
        const Fingerprint oldest = std::get<Fingerprint>(*m_evictionOrder.begin());
        eraseRecord(oldest);
    }
}

void Suspects::rebuildIndex()
{
    m_runningTrials.clear();
    m_evictionOrder.clear();
    for (const auto& [fingerprint, record] : m_records) {
        m_evictionOrder.emplace(record.isBlocked(), record.lastEventTime, fingerprint);
        if (record.isTrialRunning)
            m_runningTrials.emplace(record.trialExpires, fingerprint);
    }
}

}
