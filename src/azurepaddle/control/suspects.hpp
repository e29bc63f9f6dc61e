#pragma once

#include "azurepaddle/control/types.hpp"

#include <map>
#include <set>
#include <vector>

namespace azurepaddle::control {

/// Reports that an endpoint crashed while it ran the request. Recorded before the request is retried.
struct ReportSuspect {
    static constexpr std::uint32_t tag = 40;
    Fingerprint fingerprint;
    EndpointId endpoint;
    TenantName tenant;
    std::uint64_t incarnation = 0; ///< Of the endpoint, 0 if unknown. Several reports of one crash are counted once.

    bool operator==(const ReportSuspect&) const = default;
    MSGPACK_DEFINE(fingerprint, endpoint, tenant, incarnation)
};

/// Requests a trial run of a suspected request. Over all instances, at most one trial of a fingerprint and at most one
/// trial on an endpoint run at a time, so that a crash is never attributed to the wrong request.
struct AcquireTrial {
    static constexpr std::uint32_t tag = 41;
    Fingerprint fingerprint;
    Holder holder;
    Milliseconds duration = 0; ///< Longer than the deadline of the request.
    EndpointId endpoint; ///< Endpoint on which the trial runs.

    bool operator==(const AcquireTrial&) const = default;
    MSGPACK_DEFINE(fingerprint, holder, duration, endpoint)
};

enum class TrialResult : unsigned char {
    Clean, ///< The request finished and is no longer suspected.
    Crashed, ///< The endpoint crashed; the fingerprint is blocked.
    NotRun, ///< No byte was sent.
};

struct FinishTrial {
    static constexpr std::uint32_t tag = 42;
    Fingerprint fingerprint;
    Epoch epoch = 0;
    TrialResult result = TrialResult::NotRun;
    EndpointId endpoint;
    std::uint64_t incarnation = 0; ///< Of the endpoint, as in ReportSuspect.

    bool operator==(const FinishTrial&) const = default;
    MSGPACK_DEFINE(fingerprint, epoch, result, endpoint, incarnation)
};

/// Removes the record of a fingerprint at the request of an operator, so that it is no longer blocked.
struct UnblockSuspect {
    static constexpr std::uint32_t tag = 43;
    Fingerprint fingerprint;

    bool operator==(const UnblockSuspect&) const = default;
    MSGPACK_DEFINE(fingerprint)
};

enum class SuspectStatus : unsigned char {
    NotSuspected, ///< No trial is needed.
    Suspected,
    Blocked, ///< The request must be rejected with a reason.
    TrialGranted,
    TrialInProgress, ///< Another trial is running; retry after the wait.
    NotHolder, ///< The epoch is not that of the current trial.
};

struct SuspectReply {
    static constexpr std::uint32_t tag = 40;
    SuspectStatus status = SuspectStatus::NotSuspected;
    Epoch epoch = 0; ///< Of a granted trial.
    Milliseconds wait = 0; ///< Until the trial in progress ends.
    std::uint32_t crashes = 0;

    bool operator==(const SuspectReply&) const = default;
    MSGPACK_DEFINE(status, epoch, wait, crashes)
};

/// One crash of one incarnation of an endpoint.
struct CrashEvent {
    EndpointId endpoint;
    std::uint64_t incarnation = 0;

    bool operator==(const CrashEvent&) const = default;
    MSGPACK_DEFINE(endpoint, incarnation)
};

struct SuspectRecord {
    TenantName tenant;
    std::vector<EndpointId> endpoints; ///< Endpoints that crashed, for operators.
    std::uint32_t crashes = 0;
    Epoch epoch = 0; ///< Of the last trial.
    bool isTrialRunning = false;
    bool hasTrialExpired = false; ///< The last trial ended without a result and was counted as a crash.
    Holder holder;
    LogTime trialExpires = 0;
    LogTime lastEventTime = 0;
    EndpointId trialEndpoint; ///< Of the last trial.
    std::vector<CrashEvent> countedCrashes; ///< Crashes with a known incarnation, so that each is counted once.

    [[nodiscard]] bool isBlocked() const noexcept { return crashes >= 2; }
    bool operator==(const SuspectRecord&) const = default;
    MSGPACK_DEFINE(tenant, endpoints, crashes, epoch, isTrialRunning, hasTrialExpired, holder, trialExpires, lastEventTime, trialEndpoint, countedCrashes)
};

/// Fingerprints of requests that were running when an endpoint crashed.
class Suspects {
public:
    /// Largest number of records. Above it, the record with the oldest event is evicted, unblocked ones before blocked
    /// ones.
    static constexpr std::size_t maxRecords = 65'536;

    [[nodiscard]] SuspectReply report(const ReportSuspect& report, LogTime now);
    [[nodiscard]] SuspectReply acquireTrial(const AcquireTrial& request, LogTime now);
    [[nodiscard]] SuspectReply finishTrial(const FinishTrial& request, LogTime now);
    [[nodiscard]] SuspectReply unblock(const UnblockSuspect& request);
    /// Counts trials that ended without a result as crashes.
    void expire(LogTime now);

    /// All suspects and blocked fingerprints, in order of fingerprint.
    [[nodiscard]] const std::map<Fingerprint, SuspectRecord>& records() const noexcept { return m_records; }
    /// Rebuilds the indexes after decoding.
    void rebuildIndex();

    bool operator==(const Suspects& other) const { return m_records == other.m_records && m_lastTrialEpoch == other.m_lastTrialEpoch; }
    MSGPACK_DEFINE(m_records, m_lastTrialEpoch)

private:
    [[nodiscard]] bool hasRunningTrial(const EndpointId& endpoint) const;
    void addCrash(SuspectRecord& record, const CrashEvent& crash);
    void updateLastEvent(const Fingerprint& fingerprint, SuspectRecord& record, LogTime now);
    void eraseRecord(const Fingerprint& fingerprint);
    void evictOldest();

    std::map<Fingerprint, SuspectRecord> m_records;
    Epoch m_lastTrialEpoch = 0; ///< Number of trials granted so far, over all fingerprints.
    std::set<std::pair<LogTime, Fingerprint>> m_runningTrials; ///< Running trials by expiry.
    /// Records in the order of eviction: whether blocked, time of the last event, fingerprint.
    std::set<std::tuple<bool, LogTime, Fingerprint>> m_evictionOrder;
};

}

MSGPACK_ADD_ENUM(azurepaddle::control::TrialResult)
MSGPACK_ADD_ENUM(azurepaddle::control::SuspectStatus)
