#pragma once

#include "azurepaddle/control/types.hpp"

#include <map>
#include <set>
#include <vector>

namespace azurepaddle::control {

/// Reports that an endpoint crashed while it ran the request. Recorded before the request is tried again.
struct ReportSuspect {
    static constexpr std::uint32_t tag = 40;
    Fingerprint fingerprint;
    EndpointId endpoint;
    TenantName tenant;
    std::uint64_t incarnation = 0; ///< Of the endpoint. Several reports of one crash count once; 0 if not known.

    bool operator==(const ReportSuspect&) const = default;
    MSGPACK_DEFINE(fingerprint, endpoint, tenant, incarnation)
};

/// Asks to run a suspect. Over all instances at most one trial of a fingerprint runs, and at most one on an endpoint, so
/// that a crash is never blamed on the wrong suspect.
struct AcquireTrial {
    static constexpr std::uint32_t tag = 41;
    Fingerprint fingerprint;
    Holder holder;
    Milliseconds duration = 0; ///< Longer than the deadline of the request.
    EndpointId endpoint; ///< Where it is to run.

    bool operator==(const AcquireTrial&) const = default;
    MSGPACK_DEFINE(fingerprint, holder, duration, endpoint)
};

enum class TrialResult : unsigned char {
    Clean, ///< The request finished; it is no suspect any more.
    Crashed, ///< The endpoint crashed; the fingerprint is blocked.
    NotRun, ///< No byte was sent.
};

struct FinishTrial {
    static constexpr std::uint32_t tag = 42;
    Fingerprint fingerprint;
    Epoch epoch = 0;
    TrialResult result = TrialResult::NotRun;
    EndpointId endpoint;
    std::uint64_t incarnation = 0; ///< Of the endpoint, as in a report.

    bool operator==(const FinishTrial&) const = default;
    MSGPACK_DEFINE(fingerprint, epoch, result, endpoint, incarnation)
};

/// An operator allows a blocked fingerprint again.
struct UnblockSuspect {
    static constexpr std::uint32_t tag = 43;
    Fingerprint fingerprint;

    bool operator==(const UnblockSuspect&) const = default;
    MSGPACK_DEFINE(fingerprint)
};

enum class SuspectStatus : unsigned char {
    Clear, ///< Not a suspect; no trial is needed.
    Suspected,
    Blocked, ///< Must be rejected with a reason.
    TrialGranted,
    TrialInProgress, ///< Another trial runs; retry after the wait.
    NotHolder, ///< The epoch is not that of the trial in force.
};

struct SuspectReply {
    static constexpr std::uint32_t tag = 40;
    SuspectStatus status = SuspectStatus::Clear;
    Epoch epoch = 0; ///< Of a granted trial.
    Milliseconds wait = 0; ///< Until the trial of another holder ends.
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
    bool isTrialLost = false; ///< The last trial ended without a result and was counted as a crash.
    Holder holder;
    LogTime trialExpires = 0;
    LogTime lastEvent = 0;
    EndpointId trialEndpoint; ///< Of the last trial.
    std::vector<CrashEvent> counted; ///< Crashes of known incarnations.

    [[nodiscard]] bool isBlocked() const noexcept { return crashes >= 2; }
    bool operator==(const SuspectRecord&) const = default;
    MSGPACK_DEFINE(tenant, endpoints, crashes, epoch, isTrialRunning, isTrialLost, holder, trialExpires, lastEvent, trialEndpoint, counted)
};

/// Fingerprints of requests that were running when an endpoint crashed.
class Suspects {
public:
    /// Records kept. Beyond them the one with the oldest event is dropped, unblocked ones first.
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

    bool operator==(const Suspects& other) const { return m_records == other.m_records && m_epochs == other.m_epochs; }
    MSGPACK_DEFINE(m_records, m_epochs)

private:
    [[nodiscard]] bool isTrialEndpoint(const EndpointId& endpoint) const;
    void addCrash(SuspectRecord& record, const CrashEvent& crash);
    void touch(const Fingerprint& fingerprint, SuspectRecord& record, LogTime now);
    void forget(const Fingerprint& fingerprint);
    void dropOldest();

    std::map<Fingerprint, SuspectRecord> m_records;
    Epoch m_epochs = 0; ///< Trials granted so far, over all fingerprints.
    std::set<std::pair<LogTime, Fingerprint>> m_trials; ///< Running trials by expiry.
    std::set<std::tuple<bool, LogTime, Fingerprint>> m_byAge; ///< Blocked, last event.
};

}

MSGPACK_ADD_ENUM(azurepaddle::control::TrialResult)
MSGPACK_ADD_ENUM(azurepaddle::control::SuspectStatus)
