#include "azurepaddle/registry/suspects.hpp"

#include <algorithm>

namespace azurepaddle::registry {

namespace {

    constexpr std::uint32_t fullPoints = 2;
    constexpr std::uint32_t reducedPoints = 1;
    // In a crash with more suspects than this, each of them is probably not the cause.
    constexpr std::size_t maxLikelySuspects = 3;
    // Crashes within this interval may have a common cause other than a request.
    constexpr std::uint64_t burstMs = 1000;

    std::uint64_t distance(std::uint64_t a, std::uint64_t b)
    {
        return a < b ? b - a : a - b;
    }

}

CrashRecord* Suspects::findRecord(const EndpointCrash& crash)
{
    const auto found = std::find_if(m_crashes.begin(), m_crashes.end(), [&](const CrashRecord& record) {
        return record.endpoint == crash.endpoint && record.startedMs == crash.startedMs;
    });
    return found == m_crashes.end() ? nullptr : &*found;
}

bool Suspects::addsInformation(const EndpointCrash& crash) const
{
    const auto found = std::find_if(m_crashes.begin(), m_crashes.end(), [&](const CrashRecord& record) {
        return record.endpoint == crash.endpoint && record.startedMs == crash.startedMs;
    });
    return found == m_crashes.end() || std::any_of(crash.requests.begin(), crash.requests.end(), [&](const RequestFingerprint& request) {
        return !found->suspects.contains(request);
    });
}

void Suspects::add(const EndpointCrash& crash, std::uint64_t reportedMs)
{
    CrashRecord* record = findRecord(crash);
    if (!record) {
        m_crashes.push_back({ crash.endpoint, crash.startedMs, reportedMs, {} });
        record = &m_crashes.back();
    }
    record->suspects.insert(crash.requests.begin(), crash.requests.end());
    ++m_revision;
    recompute();
    evictExcess();
}

void Suspects::clear(const RequestFingerprint& request)
{
    if (!m_suspicions.contains(request))
        return;
    for (CrashRecord& crash : m_crashes)
        crash.suspects.erase(request);
    ++m_revision;
    recompute();
}

void Suspects::expireBefore(std::uint64_t beforeMs)
{
    if (std::erase_if(m_crashes, [beforeMs](const CrashRecord& crash) { return crash.reportedMs < beforeMs; }) == 0)
        return;
    ++m_revision;
    recompute();
}

std::optional<Suspicion> Suspects::find(const RequestFingerprint& request) const
{
    const auto found = m_suspicions.find(request);
    return found == m_suspicions.end() ? std::nullopt : std::optional(found->second);
}

std::uint64_t Suspects::refusedForMs(const RequestFingerprint& request, std::uint64_t nowMs) const
{
    const auto suspicion = find(request);
    if (!suspicion || !suspicion->isRefused())
        return 0;
    const std::uint64_t until = suspicion->lastCrashMs + static_cast<std::uint64_t>(lifetime.count());
    return until > nowMs ? until - nowMs : 0;
}

std::optional<std::uint64_t> Suspects::oldestCrashMs() const
{
    const auto oldest = std::min_element(m_crashes.begin(), m_crashes.end(), [](const CrashRecord& a, const CrashRecord& b) { return a.reportedMs < b.reportedMs; });
    return oldest == m_crashes.end() ? std::nullopt : std::optional(oldest->reportedMs);
}

void Suspects::restore(std::vector<CrashRecord> crashes, std::uint64_t revision)
{
    m_crashes = std::move(crashes);
    m_revision = revision;
    recompute();
}

/// Whether a crash that the request cannot have caused was reported within burstMs of the crash at this index.
bool Suspects::hasUnrelatedCrashNearby(std::size_t index, const RequestFingerprint& request) const
{
    const auto isNearby = [&](const CrashRecord& other) { return distance(other.reportedMs, m_crashes[index].reportedMs) <= burstMs; };
    for (std::size_t before = index; before > 0 && isNearby(m_crashes[before - 1]); --before) {
        if (!m_crashes[before - 1].suspects.contains(request))
            return true;
    }
    for (std::size_t after = index + 1; after < m_crashes.size() && isNearby(m_crashes[after]); ++after) {
        if (!m_crashes[after].suspects.contains(request))
            return true;
    }
    return false;
}

void Suspects::recompute()
{
    m_suspicions.clear();
    for (std::size_t index = 0; index < m_crashes.size(); ++index) {
        const CrashRecord& crash = m_crashes[index];
        for (const RequestFingerprint& request : crash.suspects) {
            const bool isAmbiguous = crash.suspects.size() > maxLikelySuspects || hasUnrelatedCrashNearby(index, request);
            Suspicion& suspicion = m_suspicions[request];
            ++suspicion.crashes;
            suspicion.evidence += isAmbiguous ? reducedPoints : fullPoints;
            suspicion.lastCrashMs = std::max(suspicion.lastCrashMs, crash.reportedMs);
        }
    }
}

void Suspects::evictExcess()
{
    if (m_crashes.size() <= maxCrashes)
        return;
    const auto refusesNoRequest = [this](const CrashRecord& crash) {
        return std::none_of(crash.suspects.begin(), crash.suspects.end(), [this](const RequestFingerprint& request) { return m_suspicions.at(request).isRefused(); });
    };
    const auto oldest = std::find_if(m_crashes.begin(), m_crashes.end(), refusesNoRequest);
    m_crashes.erase(oldest == m_crashes.end() ? m_crashes.begin() : oldest);
    recompute();
}

}
