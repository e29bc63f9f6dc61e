#include "azurepaddle/membership/endpoint.hpp"

#include <algorithm>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace azurepaddle::membership {

namespace {

    constexpr std::size_t maxNameBytes = 128;
    constexpr std::size_t maxVersions = 32;
    constexpr std::size_t maxAdapters = 64;
    constexpr std::size_t maxCacheEvents = 32;
    constexpr std::size_t maxCacheHashes = 512; ///< Over all events of one announcement.

    tl::unexpected<DirectoryError> invalid(std::string message)
    {
        return makeError(DirectoryErrorCode::Invalid, std::move(message));
    }

    bool hasValidLength(const std::string& text) noexcept
    {
        return !text.empty() && text.size() <= maxNameBytes;
    }

    std::size_t countHashes(const std::vector<CacheEvent>& events) noexcept
    {
        std::size_t count = 0;
        for (const CacheEvent& event : events)
            count += event.stored.size() + event.dropped.size();
        return count;
    }

}

bool isValidEndpointId(const EndpointId& id) noexcept
{
    return hasValidLength(id.value());
}

tl::expected<void, DirectoryError> checkAnnouncement(const EndpointAnnouncement& announcement)
{
    if (!isValidEndpointId(announcement.id))
        return invalid(fmt::format("the id must have 1 to {} bytes", maxNameBytes));
    if (!hasValidLength(announcement.address))
        return invalid(fmt::format("the address must have 1 to {} bytes", maxNameBytes));
    if (!hasValidLength(announcement.service.value()))
        return invalid(fmt::format("the service must have 1 to {} bytes", maxNameBytes));
    if (announcement.dataCentre.value().size() > maxNameBytes)
        return invalid(fmt::format("the data centre exceeds {} bytes", maxNameBytes));
    if (announcement.versions.size() > maxVersions)
        return invalid(fmt::format("more than {} versions", maxVersions));
    const bool adaptersFit = std::all_of(announcement.adapters.begin(), announcement.adapters.end(), hasValidLength);
    if (announcement.adapters.size() > maxAdapters || !adaptersFit)
        return invalid(fmt::format("more than {} adapters, or a name without 1 to {} bytes", maxAdapters, maxNameBytes));
    if (announcement.cacheEvents.size() > maxCacheEvents || countHashes(announcement.cacheEvents) > maxCacheHashes)
        return invalid(fmt::format("more than {} cache events or {} hashes", maxCacheEvents, maxCacheHashes));
    return {};
}

std::uint32_t hashIdentity(const EndpointAnnouncement& announcement)
{
    EndpointAnnouncement identity = announcement;
    identity.running = 0;
    identity.queued = 0;
    identity.outstandingTokens = 0;
    identity.reportTimeMs = 0;
    identity.sequence = 0;
    identity.cacheEvents.clear();
    const std::string bytes = codec::encode(identity);
    return static_cast<std::uint32_t>(XXH3_64bits(bytes.data(), bytes.size()));
}

std::uint64_t rendezvousScore(const InstanceId& instance, const EndpointId& endpoint) noexcept
{
    const std::uint64_t seed = XXH3_64bits(instance.value().data(), instance.value().size());
    return XXH3_64bits_withSeed(endpoint.value().data(), endpoint.value().size(), seed);
}

}
