#pragma once

#include "azurepaddle/registry/crash.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <set>

namespace azurepaddle::registry {

/// A crash of an endpoint incarnation, merged from the reports of all instances.
struct CrashRecord {
    EndpointId endpoint;
    std::uint64_t startedMs = 0; ///< Start time that identifies the incarnation.
    std::uint64_t reportedMs = 0; ///< Time of the first report, in Unix milliseconds by the leader's clock.
    std::set<RequestFingerprint> suspects; ///< Requests in progress at the crash that got no complete response since.

    friend bool operator==(const CrashRecord&, const CrashRecord&) = default;
    MSGPACK_DEFINE(endpoint, startedMs, reportedMs, suspects)
};

/// The evidence that one request crashes endpoints.
struct Suspicion {
    std::uint32_t crashes = 0; ///< Crashes of endpoints during the request.
    std::uint32_t evidence = 0; ///< In points; see `Suspects`.
    std::uint64_t lastCrashMs = 0; ///< In Unix milliseconds.

    /// Whether the request is refused: after three crashes without another explanation, after five in any case.
    [[nodiscard]] bool isRefused() const noexcept { return evidence >= refusalThreshold; }

    static constexpr std::uint32_t refusalThreshold = 5;

    friend bool operator==(const Suspicion&, const Suspicion&) = default;
};

/// Callers' requests during which endpoints crashed. A request that crashes each endpoint that runs it is retried
/// through any instance, so crashes are counted by request fingerprint and over all instances.
///
/// Harmless requests run concurrently with it, and are in progress when endpoints crash for other reasons. A crash
/// therefore adds two points of evidence to a request, or one point if many requests were in progress, or if another
/// endpoint that did not run the request crashed at about the same time. A complete response removes a request from all
/// crashes, which can raise the evidence of the remaining requests. Deterministic.
class Suspects {
public:
    /// A request is refused for this time after its last crash. Older crashes are removed.
    static constexpr std::chrono::milliseconds lifetime = std::chrono::hours(1);
    /// Crashes kept. Beyond this number, the oldest one without a refused request is removed.
    static constexpr std::size_t maxCrashes = 512;

    /// Records a crash at a time of the leader's clock. Reports of one crash by several instances are merged.
    void add(const EndpointCrash& crash, std::uint64_t reportedMs);
    /// Removes a request from all crashes, because an endpoint completed a response to it.
    void clear(const RequestFingerprint& request);
    /// Removes crashes that were reported before a point in time.
    void expireBefore(std::uint64_t beforeMs);

    /// Whether the crash, or one of its requests, is not recorded yet.
    [[nodiscard]] bool addsInformation(const EndpointCrash& crash) const;
    /// Empty if no crash is recorded for the request.
    [[nodiscard]] std::optional<Suspicion> find(const RequestFingerprint& request) const;
    /// Remaining time, counted from `nowMs`, for which a request is refused; 0 if it may be sent.
    [[nodiscard]] std::uint64_t refusedForMs(const RequestFingerprint& request, std::uint64_t nowMs) const;
    [[nodiscard]] const std::map<RequestFingerprint, Suspicion>& all() const noexcept { return m_suspicions; }
    /// Time of the oldest report of a crash; empty if there is none.
    [[nodiscard]] std::optional<std::uint64_t> oldestCrashMs() const;
    /// Increases with each change, and is the same on all instances that applied the same commands.
    [[nodiscard]] std::uint64_t revision() const noexcept { return m_revision; }

    [[nodiscard]] const std::vector<CrashRecord>& crashes() const noexcept { return m_crashes; }
    void restore(std::vector<CrashRecord> crashes, std::uint64_t revision);

private:
    [[nodiscard]] CrashRecord* findRecord(const EndpointCrash& crash);
    [[nodiscard]] bool hasUnrelatedCrashNearby(std::size_t index, const RequestFingerprint& request) const;
    void recompute();
    void evictExcess();

    std::vector<CrashRecord> m_crashes; ///< In the order of their first reports.
    std::map<RequestFingerprint, Suspicion> m_suspicions; ///< Derived from the crashes.
    std::uint64_t m_revision = 0;
};

}
