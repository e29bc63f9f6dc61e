#include "azurepaddle/pipeline/endpoint_service.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace azurepaddle::pipeline {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t maxCachedPrefixes = 4096;

    std::vector<membership::CacheEvent> readCacheEvents(const Json& list)
    {
        std::vector<membership::CacheEvent> events;
        for (const Json& entry : list) {
            membership::CacheEvent event;
            event.sequence = entry.value("sequence", std::uint64_t { 0 });
            const auto prefix = entry.value("prefix", std::uint64_t { 0 });
            (entry.value("event", std::string()) == "stored" ? event.stored : event.dropped).push_back(prefix);
            events.push_back(std::move(event));
        }
        return events;
    }

    membership::EndpointAnnouncement readAnnouncement(const Json& object)
    {
        membership::EndpointAnnouncement announcement;
        announcement.id = EndpointId(object.at("id").get<std::string>());
        announcement.address = object.at("address").get<std::string>();
        announcement.service = ServiceName(object.at("service").get<std::string>());
        announcement.dataCentre = DataCentreName(object.value("data_centre", std::string()));
        announcement.versions = object.value("versions", std::vector<WeightVersion>());
        announcement.adapters = object.value("adapters", std::vector<std::string>());
        announcement.slots = object.at("slots").get<std::uint32_t>();
        announcement.running = object.value("running", 0U);
        announcement.queued = object.value("queued", 0U);
        announcement.outstandingTokens = object.value("outstanding_tokens", std::uint64_t { 0 });
        announcement.reportTimeMs = object.value("report_time_ms", std::int64_t { 0 });
        announcement.incarnation = object.at("incarnation").get<std::uint64_t>();
        announcement.sequence = object.value("sequence", std::uint64_t { 0 });
        announcement.checksFencing = object.value("checks_fencing", false);
        announcement.cacheEvents = readCacheEvents(object.value("cache_events", Json::array()));
        return announcement;
    }

    PipelineErrorCode codeOf(membership::DirectoryErrorCode code) noexcept
    {
        switch (code) {
        case membership::DirectoryErrorCode::Invalid:
            return PipelineErrorCode::BadRequest;
        case membership::DirectoryErrorCode::Superseded:
        case membership::DirectoryErrorCode::Left:
            return PipelineErrorCode::Conflict;
        case membership::DirectoryErrorCode::Full:
            return PipelineErrorCode::Overloaded;
        case membership::DirectoryErrorCode::Unknown:
            return PipelineErrorCode::NotFound;
        }
        return PipelineErrorCode::BadRequest;
    }

    PipelineResult<void> toPipelineResult(const tl::expected<void, membership::DirectoryError>& result)
    {
        if (!result)
            return refuse(codeOf(result.error().code()), result.error().message());
        return {};
    }

}

PipelineResult<membership::EndpointAnnouncement> parseAnnouncement(std::string_view body)
{
    const auto object = Json::parse(body, nullptr, false);
    if (!object.is_object())
        return refuse(PipelineErrorCode::BadRequest, "the announcement is not a JSON object");
    try {
        return readAnnouncement(object);
    } catch (const Json::exception& exception) {
        return refuse(PipelineErrorCode::BadRequest, fmt::format("a field of the announcement is missing or has another type: {}", exception.what()));
    }
}

EndpointService::EndpointService(LiveDirectory& directory, LiveRouter& router, Dispatcher& dispatcher)
    : m_directory(directory)
    , m_router(router)
    , m_dispatcher(dispatcher)
{
}

PipelineResult<void> EndpointService::announce(std::string_view body)
{
    auto announcement = parseAnnouncement(body);
    if (!announcement)
        return tl::unexpected(announcement.error());
    const ServiceName service = announcement->service;
    auto result = toPipelineResult(m_directory.announce(*announcement));
    if (result)
        refreshService(service);
    return result;
}

PipelineResult<void> EndpointService::leave(std::string_view body)
{
    const auto object = Json::parse(body, nullptr, false);
    if (!object.is_object() || !object.contains("id") || !object["id"].is_string())
        return refuse(PipelineErrorCode::BadRequest, "the body is not a JSON object with an id");
    std::optional<std::uint64_t> incarnation;
    if (object.contains("incarnation") && object["incarnation"].is_number_unsigned())
        incarnation = object["incarnation"].get<std::uint64_t>();
    const EndpointId id(object["id"].get<std::string>());
    auto result = toPipelineResult(m_directory.leave(id, incarnation));
    if (result)
        m_router.remove(id);
    return result;
}

void EndpointService::refresh(const std::vector<ServiceName>& services)
{
    for (const ServiceName& service : services)
        refreshService(service);
}

void EndpointService::refreshService(const ServiceName& service)
{
    {
        const std::lock_guard lock(m_mutex);
        auto& published = m_published[service];
        const auto candidates = m_directory.candidates(service);
        for (const auto& record : candidates)
            updateRouter(*record, published[record->announcement.id]);
        std::erase_if(published, [&](const auto& entry) {
            const bool isGone = std::none_of(candidates.begin(), candidates.end(), [&](const auto& record) { return record->announcement.id == entry.first; });
            if (isGone)
                m_router.remove(entry.first);
            return isGone;
        });
    }
    m_dispatcher.dispatch(service);
}

void EndpointService::updateRouter(const membership::EndpointRecord& record, PublishedState& published)
{
    const auto& announcement = record.announcement;
    if (published.updatedAt == record.updatedAt)
        return;
    if (published.incarnation != announcement.incarnation)
        published = {};
    published.incarnation = announcement.incarnation;
    published.updatedAt = record.updatedAt;
    for (const auto& event : announcement.cacheEvents) {
        if (event.sequence <= published.lastCacheEvent)
            continue;
        published.lastCacheEvent = event.sequence;
        for (const auto prefix : event.dropped)
            std::erase(published.prefixes, prefix);
        published.prefixes.insert(published.prefixes.end(), event.stored.begin(), event.stored.end());
    }
    if (published.prefixes.size() > maxCachedPrefixes)
        published.prefixes.erase(published.prefixes.begin(), published.prefixes.end() - maxCachedPrefixes);
    routing::EndpointView view;
    view.id = announcement.id;
    view.service = announcement.service;
    view.dataCentre = announcement.dataCentre;
    view.slots = announcement.slots;
    view.running = announcement.running;
    view.queued = announcement.queued;
    view.outstandingTokens = announcement.outstandingTokens;
    view.reportTime = record.updatedAt;
    view.versions = announcement.versions;
    view.adapters = announcement.adapters;
    view.cachedPrefixes = published.prefixes;
    m_router.update(view);
}

}
