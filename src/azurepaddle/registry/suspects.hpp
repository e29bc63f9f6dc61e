#pragma once

#include "azurepaddle/registry/crash.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <set>

namespace azurepaddle::registry {

/// An endpoint incarnation that crashed, over the reports of all instances.
struct CrashRecord {
    EndpointId endpoint;
    std::uint64_t startedMs = 0; ///< Of the incarnation.
    std::uint64_t atMs = 0; ///< When it was first reported, in Unix milliseconds of the leader.
    std::set<RequestFingerprint> suspects; ///< Requests that ran there and got no whole answer since.

    friend bool operator==(const CrashRecord&, const CrashRecord&) = default;
    MSGPACK_DEFINE(endpoint, startedMs, atMs, suspects)
};

/// What is known against one request.
struct Suspicion {
    std::uint32_t crashes = 0; ///< Endpoints that crashed under it.
    std::uint32_t evidence = 0; ///< In points; see `Suspects`.
    std::uint64_t lastCrashMs = 0; ///< In Unix milliseconds.

    /// Whether the request is refused. Three crashes suffice where nothing else explains them, five in any case.
    [[nodiscard]] bool isConvicted() const noexcept { return evidence >= convictingEvidence; }

    static constexpr std::uint32_t convictingEvidence = 5;

    friend bool operator==(const Suspicion&, const Suspicion&) = default;
};

/// Requests of callers under which endpoints crashed. A request that crashes each endpoint that runs it comes again at any
/// instance, so the crashes are counted by what the request asks, over all instances.
///
/// Sound requests run beside it, and are in progress when endpoints crash for other reasons. A crash therefore counts two
/// points against a request, or one point if many requests were lost in it, or if another endpoint on which the request
/// did not run crashed at about the same time. A whole answer clears a request of all crashes, which also makes those
/// count more for the requests that remain. Deterministic.
class Suspects {
public:
    /// A request is refused for this long after its last crash; then all is forgotten.
    static constexpr std::chrono::milliseconds lifetime = std::chrono::hours(1);
    /// Crashes kept. Beyond them the oldest one that convicts nobody is forgotten.
    static constexpr std::size_t maxCrashes = 512;

    /// Notes a crash at a time of the leader's clock. Reports of several instances on one crash are one.
    void add(const EndpointCrash& crash, std::uint64_t atMs);
    /// Clears a request, because an endpoint answered it whole.
    void clear(const RequestFingerprint& request);
    /// Forgets crashes that were reported before a time.
    void expireBefore(std::uint64_t atMs);

    /// Whether a crash, or a request that was lost in it, is not known yet.
    [[nodiscard]] bool isNews(const EndpointCrash& crash) const;
    /// Nothing if the request is no suspect.
    [[nodiscard]] std::optional<Suspicion> find(const RequestFingerprint& request) const;
    /// For how many milliseconds after a time a request is still refused; 0 if it may be sent.
    [[nodiscard]] std::uint64_t refusedForMs(const RequestFingerprint& request, std::uint64_t nowMs) const;
    [[nodiscard]] const std::map<RequestFingerprint, Suspicion>& all() const noexcept { return m_suspicions; }
    /// When the oldest crash was reported; nothing if there is none.
    [[nodiscard]] std::optional<std::uint64_t> oldestMs() const;
    /// Rises with each change, and is the same on all instances that applied the same commands.
    [[nodiscard]] std::uint64_t revision() const noexcept { return m_revision; }

    [[nodiscard]] const std::vector<CrashRecord>& crashes() const noexcept { return m_crashes; }
    void restore(std::vector<CrashRecord> crashes, std::uint64_t revision);

private:
    [[nodiscard]] CrashRecord* recordOf(const EndpointCrash& crash);
    [[nodiscard]] bool hasOtherCrashNear(std::size_t index, const RequestFingerprint& request) const;
    void weigh();
    void trim();

    std::vector<CrashRecord> m_crashes; ///< In the order of their reports.
    std::map<RequestFingerprint, Suspicion> m_suspicions; ///< Derived from the crashes.
    std::uint64_t m_revision = 0;
};

}
