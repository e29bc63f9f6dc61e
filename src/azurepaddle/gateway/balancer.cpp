#include "azurepaddle/gateway/balancer.hpp"

#include <algorithm>
#include <cmath>

namespace azurepaddle::gateway {

namespace {

    constexpr double averageWeight = 0.2; // Of the newest answer.
    // Incarnations that leave, beyond which those that are not known any more are forgotten.
    constexpr std::size_t maxLeaving = 1024;
    constexpr double defaultMs = 25;
    // A report fades: neighbours of the endpoint change its speed several times a second.
    constexpr Duration reportLifetime = std::chrono::milliseconds(600);
    constexpr Duration firstAvoidance = std::chrono::milliseconds(250);
    constexpr unsigned maxAvoidanceDoublings = 4;
    constexpr Duration refusalAvoidance = std::chrono::milliseconds(60);
    // Cost of leaving the data centre, as a part of the cost of an idle endpoint.
    constexpr double remotePenalty = 0.08;

}

void Balancer::setEndpoints(const std::vector<registry::EndpointRecord>& records)
{
    std::map<EndpointId, Entry> entries;
    for (const registry::EndpointRecord& record : records)
        entries.emplace(record.id, entryOf(record));
    m_entries = std::move(entries);
    trimLeaving();
}

void Balancer::changeEndpoints(const std::vector<registry::EndpointRecord>& changed, const std::vector<EndpointId>& removed)
{
    for (const EndpointId& id : removed)
        m_entries.erase(id);
    for (const registry::EndpointRecord& record : changed)
        m_entries.insert_or_assign(record.id, entryOf(record));
    trimLeaving();
}

/// The entry of a record, with what was observed of its incarnation.
Balancer::Entry Balancer::entryOf(const registry::EndpointRecord& record) const
{
    const auto known = m_entries.find(record.id);
    Entry entry = known != m_entries.end() && known->second.record.startedMs == record.startedMs ? known->second : Entry {};
    entry.record = record;
    return entry;
}

void Balancer::trimLeaving()
{
    if (m_leaving.size() > maxLeaving)
        std::erase_if(m_leaving, [this](const auto& leaving) { return !m_entries.contains(leaving.first); });
}

bool Balancer::isUsable(const Entry& entry) const
{
    const auto leaving = m_leaving.find(entry.record.id);
    return entry.record.state == registry::EndpointState::Ready && (leaving == m_leaving.end() || leaving->second != entry.record.startedMs);
}

std::optional<registry::EndpointIncarnation> Balancer::noteLeaving(const EndpointId& id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || !isUsable(found->second))
        return std::nullopt;
    const std::uint64_t startedMs = found->second.record.startedMs;
    m_leaving[id] = startedMs;
    return registry::EndpointIncarnation { id, startedMs };
}

bool Balancer::isLeaving(const registry::EndpointRecord& record) const
{
    const auto known = m_entries.find(record.id);
    return known == m_entries.end() || !isUsable(known->second);
}

std::vector<Balancer::Entry*> Balancer::candidatesOf(const ServiceName& service, const std::set<EndpointId>& excluded, TimePoint now)
{
    std::vector<Entry*> good;
    std::vector<Entry*> avoided;
    for (auto& [id, entry] : m_entries) {
        if (entry.record.service != service || !isUsable(entry) || excluded.contains(id))
            continue;
        (now < entry.avoidUntil ? avoided : good).push_back(&entry);
    }
    return good.empty() ? avoided : good;
}

double Balancer::costOf(const Entry& entry, TimePoint now) const
{
    const double slots = std::max<double>(1, entry.record.slots);
    double occupied = entry.inProgress;
    double slowness = 1;
    if (entry.lastReport && now - entry.reportedAt < reportLifetime) {
        const double freshness = 1 - std::chrono::duration<double>(now - entry.reportedAt) / std::chrono::duration<double>(reportLifetime);
        const double reported = entry.lastReport->running + entry.lastReport->waiting;
        occupied = std::max(occupied, freshness * reported);
        slowness += freshness * (entry.lastReport->slowness - 1);
    }
    const double time = (entry.averageMs > 0 ? entry.averageMs : defaultMs) * slowness;
    const double fullness = occupied / slots;
    const double penalty = entry.record.dataCentre == m_own ? 0 : remotePenalty;
    // Endpoints slow down when they are nearly full, and beyond their slots requests wait.
    return time * (1 + penalty + fullness * fullness + std::max(0.0, fullness - 1) * slots);
}

void Balancer::begin(const EndpointId& id)
{
    if (const auto found = m_entries.find(id); found != m_entries.end())
        ++found->second.inProgress;
}

void Balancer::end(const EndpointId& id, Experience experience, Duration took, TimePoint now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    Entry& entry = found->second;
    entry.inProgress -= std::min(entry.inProgress, 1U);
    if (experience == Experience::Answered) {
        const double ms = std::chrono::duration<double, std::milli>(took).count();
        entry.averageMs = entry.averageMs > 0 ? entry.averageMs * (1 - averageWeight) + ms * averageWeight : ms;
        entry.failures = 0;
        entry.avoidUntil = {};
    } else if (experience == Experience::Overtaken) {
        // Its answer takes at least this long.
        const double ms = std::chrono::duration<double, std::milli>(took).count();
        if (ms > entry.averageMs)
            entry.averageMs = entry.averageMs > 0 ? entry.averageMs * (1 - averageWeight) + ms * averageWeight : ms;
    } else if (experience == Experience::Refused) {
        entry.avoidUntil = now + refusalAvoidance;
    } else {
        const Duration avoidance = firstAvoidance * (1U << std::min(entry.failures, maxAvoidanceDoublings));
        ++entry.failures;
        entry.avoidUntil = now + avoidance;
    }
}

void Balancer::report(const EndpointId& id, const LoadReport& report, TimePoint now)
{
    if (const auto found = m_entries.find(id); found != m_entries.end()) {
        found->second.lastReport = report;
        found->second.reportedAt = now;
    }
}

std::size_t Balancer::countOf(const ServiceName& service) const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [&](const auto& entry) {
        return entry.second.record.service == service && isUsable(entry.second);
    }));
}

std::size_t Balancer::slotsOf(const ServiceName& service) const
{
    std::size_t slots = 0;
    for (const auto& [id, entry] : m_entries) {
        if (entry.record.service == service && isUsable(entry))
            slots += entry.record.slots;
    }
    return slots;
}

Duration Balancer::usualTime(const ServiceName& service) const
{
    std::vector<double> averages;
    for (const auto& [id, entry] : m_entries) {
        if (entry.record.service == service && entry.averageMs > 0)
            averages.push_back(entry.averageMs);
    }
    if (averages.empty())
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(defaultMs));
    std::nth_element(averages.begin(), averages.begin() + static_cast<std::ptrdiff_t>(averages.size() / 2), averages.end());
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(averages[averages.size() / 2]));
}

}
