#include "azurepaddle/gateway/balancer.hpp"

#include <algorithm>
#include <cmath>

namespace azurepaddle::gateway {

namespace {

    constexpr double newestSampleWeight = 0.2; // In the moving average of answer times.
    // Above this number of leaving incarnations, those of endpoints that are no longer listed are removed.
    constexpr std::size_t leavingPruneThreshold = 1024;
    constexpr double defaultAnswerMs = 25;
    // The weight of a load report decreases to 0 over this time, because other load on the endpoint's machine changes
    // its speed several times a second.
    constexpr Duration loadReportLifetime = std::chrono::milliseconds(600);
    constexpr Duration minAvoidance = std::chrono::milliseconds(250);
    constexpr unsigned maxAvoidanceDoublings = 4;
    constexpr Duration refusalAvoidance = std::chrono::milliseconds(60);
    // Added cost of an endpoint in another data centre, as a fraction of the cost of an idle endpoint.
    constexpr double remotePenalty = 0.08;

}

void Balancer::setEndpoints(const std::vector<registry::EndpointRecord>& records)
{
    std::map<EndpointId, Entry> entries;
    for (const registry::EndpointRecord& record : records)
        entries.emplace(record.id, makeEntry(record));
    m_entries = std::move(entries);
    pruneLeaving();
}

void Balancer::changeEndpoints(const std::vector<registry::EndpointRecord>& changed, const std::vector<EndpointId>& removed)
{
    for (const EndpointId& id : removed)
        m_entries.erase(id);
    for (const registry::EndpointRecord& record : changed)
        m_entries.insert_or_assign(record.id, makeEntry(record));
    pruneLeaving();
}

/// Creates the entry of a record and keeps the observations of the same incarnation.
Balancer::Entry Balancer::makeEntry(const registry::EndpointRecord& record) const
{
    const auto known = m_entries.find(record.id);
    Entry entry = known != m_entries.end() && known->second.record.startedMs == record.startedMs ? known->second : Entry {};
    entry.record = record;
    return entry;
}

void Balancer::pruneLeaving()
{
    if (m_leavingIncarnations.size() > leavingPruneThreshold)
        std::erase_if(m_leavingIncarnations, [this](const auto& leaving) { return !m_entries.contains(leaving.first); });
}

bool Balancer::isUsable(const Entry& entry) const
{
    const auto leaving = m_leavingIncarnations.find(entry.record.id);
    return entry.record.state == registry::EndpointState::Ready && (leaving == m_leavingIncarnations.end() || leaving->second != entry.record.startedMs);
}

std::optional<registry::EndpointIncarnation> Balancer::markLeaving(const EndpointId& id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || !isUsable(found->second))
        return std::nullopt;
    const std::uint64_t startedMs = found->second.record.startedMs;
    m_leavingIncarnations[id] = startedMs;
    return registry::EndpointIncarnation { id, startedMs };
}

bool Balancer::isLeaving(const registry::EndpointRecord& record) const
{
    const auto known = m_entries.find(record.id);
    return known == m_entries.end() || !isUsable(known->second);
}

std::vector<Balancer::Entry*> Balancer::findCandidates(const ServiceName& service, const std::set<EndpointId>& excluded, TimePoint now)
{
    std::vector<Entry*> preferred;
    std::vector<Entry*> avoided;
    for (auto& [id, entry] : m_entries) {
        if (entry.record.service != service || !isUsable(entry) || excluded.contains(id))
            continue;
        (now < entry.avoidedUntil ? avoided : preferred).push_back(&entry);
    }
    return preferred.empty() ? avoided : preferred;
}

/// Weight of the last load report of an endpoint, from 1 down to 0.
double Balancer::freshnessOfReport(const Entry& entry, TimePoint now)
{
    if (!entry.lastReport || now - entry.reportedAt >= loadReportLifetime)
        return 0;
    return 1 - std::chrono::duration<double>(now - entry.reportedAt) / std::chrono::duration<double>(loadReportLifetime);
}

double Balancer::occupiedSlots(const Entry& entry, TimePoint now)
{
    const double reported = entry.lastReport ? entry.lastReport->running + entry.lastReport->waiting : 0;
    return std::max<double>(entry.inProgress, freshnessOfReport(entry, now) * reported);
}

bool Balancer::hasFreeSlot(const EndpointId& id, TimePoint now) const
{
    const auto found = m_entries.find(id);
    return found != m_entries.end() && now >= found->second.avoidedUntil && occupiedSlots(found->second, now) < found->second.record.slots;
}

bool Balancer::serves(const EndpointId& id, const ServiceName& service) const
{
    const auto found = m_entries.find(id);
    return found != m_entries.end() && found->second.record.service == service && isUsable(found->second);
}

std::set<EndpointId> Balancer::endpointsWithOtherSoftware(const ServiceName& service, const SoftwareVersion& software) const
{
    std::set<EndpointId> others;
    for (const auto& [id, entry] : m_entries) {
        if (entry.record.service == service && entry.record.software != software)
            others.insert(id);
    }
    return others;
}

double Balancer::estimateCost(const Entry& entry, TimePoint now) const
{
    const double slots = std::max<double>(1, entry.record.slots);
    const double slowness = entry.lastReport ? 1 + freshnessOfReport(entry, now) * (entry.lastReport->slowness - 1) : 1;
    const double answerMs = (entry.averageAnswerMs > 0 ? entry.averageAnswerMs : defaultAnswerMs) * slowness;
    const double utilization = occupiedSlots(entry, now) / slots;
    const double penalty = entry.record.dataCentre == m_ownDataCentre ? 0 : remotePenalty;
    // Endpoints slow down when nearly all slots are occupied, and requests beyond the number of slots are queued.
    return answerMs * (1 + penalty + utilization * utilization + std::max(0.0, utilization - 1) * slots);
}

void Balancer::onRequestStarted(const EndpointId& id)
{
    if (const auto found = m_entries.find(id); found != m_entries.end())
        ++found->second.inProgress;
}

void Balancer::onRequestEnded(const EndpointId& id, RequestOutcome outcome, Duration elapsed, TimePoint now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    Entry& entry = found->second;
    entry.inProgress -= std::min(entry.inProgress, 1U);
    if (outcome == RequestOutcome::Answered) {
        const double ms = std::chrono::duration<double, std::milli>(elapsed).count();
        entry.averageAnswerMs = entry.averageAnswerMs > 0 ? entry.averageAnswerMs * (1 - newestSampleWeight) + ms * newestSampleWeight : ms;
        entry.consecutiveFailures = 0;
        entry.avoidedUntil = {};
    } else if (outcome == RequestOutcome::Cancelled) {
        // The elapsed time is a lower bound of the answer time.
        const double ms = std::chrono::duration<double, std::milli>(elapsed).count();
        if (ms > entry.averageAnswerMs)
            entry.averageAnswerMs = entry.averageAnswerMs > 0 ? entry.averageAnswerMs * (1 - newestSampleWeight) + ms * newestSampleWeight : ms;
    } else if (outcome == RequestOutcome::Refused) {
        entry.avoidedUntil = now + refusalAvoidance;
    } else {
        const Duration avoidance = minAvoidance * (1U << std::min(entry.consecutiveFailures, maxAvoidanceDoublings));
        ++entry.consecutiveFailures;
        entry.avoidedUntil = now + avoidance;
    }
}

void Balancer::onLoadReport(const EndpointId& id, const LoadReport& report, TimePoint now)
{
    if (const auto found = m_entries.find(id); found != m_entries.end()) {
        found->second.lastReport = report;
        found->second.reportedAt = now;
    }
}

std::optional<registry::EndpointIncarnation> Balancer::incarnationAt(const InstanceAddress& address) const
{
    std::optional<registry::EndpointIncarnation> newest;
    for (const auto& [id, entry] : m_entries) {
        if (entry.record.address() == address && (!newest || entry.record.startedMs > newest->startedMs))
            newest = { id, entry.record.startedMs };
    }
    return newest;
}

std::vector<registry::EndpointRecord> Balancer::records() const
{
    std::vector<registry::EndpointRecord> records;
    for (const auto& [id, entry] : m_entries) {
        if (isUsable(entry))
            records.push_back(entry.record);
    }
    return records;
}

std::size_t Balancer::endpointCount(const ServiceName& service) const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [&](const auto& entry) {
        return entry.second.record.service == service && isUsable(entry.second);
    }));
}

std::size_t Balancer::endpointCount(const registry::StreamOrigin& origin) const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [&](const auto& entry) {
        return entry.second.record.service == origin.service && entry.second.record.software == origin.software && isUsable(entry.second);
    }));
}

std::size_t Balancer::slotCount(const ServiceName& service) const
{
    std::size_t slots = 0;
    for (const auto& [id, entry] : m_entries) {
        if (entry.record.service == service && isUsable(entry))
            slots += entry.record.slots;
    }
    return slots;
}

Duration Balancer::medianAnswerTime(const ServiceName& service) const
{
    std::vector<double> averages;
    for (const auto& [id, entry] : m_entries) {
        if (entry.record.service == service && entry.averageAnswerMs > 0)
            averages.push_back(entry.averageAnswerMs);
    }
    if (averages.empty())
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(defaultAnswerMs));
    std::nth_element(averages.begin(), averages.begin() + static_cast<std::ptrdiff_t>(averages.size() / 2), averages.end());
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(averages[averages.size() / 2]));
}

}
