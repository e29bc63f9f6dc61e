#include "azurepaddle/control/suspects.hpp"

#include <algorithm>

namespace azurepaddle::control {

namespace {

    SuspectStatus standingOf(const SuspectRecord& record) noexcept
    {
        return record.isBlocked() ? SuspectStatus::Blocked : SuspectStatus::Suspected;
    }

}

SuspectReply Suspects::report(const ReportSuspect& report, LogTime now)
{
    SuspectRecord& record = m_records[report.fingerprint];
    m_byAge.erase({ record.isBlocked(), record.lastEvent, report.fingerprint });
    record.tenant = report.tenant;
    addCrash(record, { report.endpoint, report.incarnation });
    touch(report.fingerprint, record, now);
    const SuspectReply reply { standingOf(record), 0, 0, record.crashes };
    dropOldest();
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
    if (isTrialEndpoint(request.endpoint))
        return { SuspectStatus::TrialInProgress, 0, 1, record.crashes };
    record.isTrialRunning = true;
    record.isTrialLost = false;
    record.trialEndpoint = request.endpoint;
    record.holder = request.holder;
    record.epoch = ++m_epochs;
    record.trialExpires = now + request.duration + maxClockDifference;
    m_trials.emplace(record.trialExpires, request.fingerprint);
    return { SuspectStatus::TrialGranted, record.epoch, 0, record.crashes };
}

SuspectReply Suspects::finishTrial(const FinishTrial& request, LogTime now)
{
    const auto found = m_records.find(request.fingerprint);
    if (found == m_records.end())
        return { SuspectStatus::NotHolder, 0, 0, 0 };
    SuspectRecord& record = found->second;
    if (record.epoch != request.epoch || !(record.isTrialRunning || record.isTrialLost))
        return { SuspectStatus::NotHolder, 0, 0, record.crashes };
    if (request.result == TrialResult::Clean) {
        forget(request.fingerprint);
        return {};
    }
    m_byAge.erase({ record.isBlocked(), record.lastEvent, request.fingerprint });
    m_trials.erase({ record.trialExpires, request.fingerprint });
    const bool wasCounted = record.isTrialLost;
    record.isTrialRunning = false;
    record.isTrialLost = false;
    if (request.result == TrialResult::Crashed && !wasCounted)
        addCrash(record, { request.endpoint, request.incarnation });
    if (request.result == TrialResult::NotRun && wasCounted)
        --record.crashes;
    touch(request.fingerprint, record, now);
    return { standingOf(record), 0, 0, record.crashes };
}

SuspectReply Suspects::unblock(const UnblockSuspect& request)
{
    if (m_records.contains(request.fingerprint))
        forget(request.fingerprint);
    return {};
}

void Suspects::expire(LogTime now)
{
    while (!m_trials.empty() && m_trials.begin()->first <= now) {
        const Fingerprint fingerprint = m_trials.begin()->second;
        m_trials.erase(m_trials.begin());
        SuspectRecord& record = m_records.at(fingerprint);
        m_byAge.erase({ record.isBlocked(), record.lastEvent, fingerprint });
        record.isTrialRunning = false;
        // The holder may have died together with the endpoint. A further trial could cost a third endpoint.
        record.isTrialLost = true;
        ++record.crashes;
        touch(fingerprint, record, now);
    }
}

bool Suspects::isTrialEndpoint(const EndpointId& endpoint) const
{
    return !endpoint.empty() && std::any_of(m_trials.begin(), m_trials.end(), [&](const auto& trial) { return m_records.at(trial.second).trialEndpoint == endpoint; });
}

void Suspects::addCrash(SuspectRecord& record, const CrashEvent& crash)
{
    constexpr std::size_t maxEndpoints = 4;
    const bool isCounted = std::find(record.counted.begin(), record.counted.end(), crash) != record.counted.end();
    if (crash.incarnation != 0 && isCounted)
        return;
    ++record.crashes;
    if (record.endpoints.size() < maxEndpoints)
        record.endpoints.push_back(crash.endpoint);
    if (crash.incarnation != 0 && record.counted.size() < maxEndpoints)
        record.counted.push_back(crash);
}

void Suspects::touch(const Fingerprint& fingerprint, SuspectRecord& record, LogTime now)
{
    record.lastEvent = now;
    m_byAge.emplace(record.isBlocked(), now, fingerprint);
}

void Suspects::forget(const Fingerprint& fingerprint)
{
    const auto found = m_records.find(fingerprint);
    m_byAge.erase({ found->second.isBlocked(), found->second.lastEvent, fingerprint });
    m_trials.erase({ found->second.trialExpires, fingerprint });
    m_records.erase(found);
}

void Suspects::dropOldest()
{
    while (m_records.size() > maxRecords) {
        const Fingerprint oldest = std::get<Fingerprint>(*m_byAge.begin());
        forget(oldest);
    }
}

void Suspects::rebuildIndex()
{
    m_trials.clear();
    m_byAge.clear();
    for (const auto& [fingerprint, record] : m_records) {
        m_byAge.emplace(record.isBlocked(), record.lastEvent, fingerprint);
        if (record.isTrialRunning)
            m_trials.emplace(record.trialExpires, fingerprint);
    }
}

}
