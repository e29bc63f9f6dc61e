#include "azurepaddle/registry/permit_table.hpp"

#include <algorithm>
#include <cmath>

namespace azurepaddle::registry {

namespace {

    // Permits are kept for this long, so that requests that come unevenly can use them.
    constexpr double keptSeconds = 0.5;
    // An instance without a request for a permit for this long does not count as a sender.
    constexpr Duration senderLifetime = std::chrono::seconds(60);
    constexpr Duration removalInterval = std::chrono::seconds(10);

}

PermitReply PermitTable::request(const PermitRequest& request, TimePoint now)
{
    removeUnused(now);
    m_instances[request.instance] = now;
    const double rate = std::max(request.requestsPerSecond, minPermitsPerSecond);
    Bucket& bucket = refill(request, rate, now);
    PermitReply reply;
    reply.instances = static_cast<std::uint32_t>(m_instances.size());
    reply.isGranted = bucket.permits >= 1;
    if (reply.isGranted)
        bucket.permits -= 1;
    else
        reply.retryAfterMs = static_cast<std::uint64_t>(std::ceil((1 - bucket.permits) / rate * 1000));
    return reply;
}

PermitTable::Bucket& PermitTable::refill(const PermitRequest& request, double rate, TimePoint now)
{
    const auto [entry, isNew] = m_buckets.try_emplace(request.endpoint.id);
    Bucket& bucket = entry->second;
    if (isNew || bucket.startedMs != request.endpoint.startedMs) {
        bucket = { request.endpoint.startedMs, 0, now };
        return bucket;
    }
    const double passed = std::chrono::duration<double>(now - bucket.updatedAt).count();
    bucket.permits = std::min(bucket.permits + passed * rate, std::max(1.0, rate * keptSeconds));
    bucket.updatedAt = now;
    return bucket;
}

void PermitTable::removeUnused(TimePoint now)
{
    if (now < m_nextRemoval)
        return;
    m_nextRemoval = now + removalInterval;
    std::erase_if(m_instances, [now](const auto& entry) { return now - entry.second > senderLifetime; });
    std::erase_if(m_buckets, [now](const auto& entry) { return now - entry.second.updatedAt > senderLifetime; });
}

void PermitTable::clear() noexcept
{
    m_buckets.clear();
    m_instances.clear();
}

}
