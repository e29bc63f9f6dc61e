#pragma once

#include "azurepaddle/pipeline/dispatcher.hpp"

#include <map>
#include <mutex>
#include <string_view>

namespace azurepaddle::pipeline {

/// Parses the JSON announcement of an endpoint.
[[nodiscard]] PipelineResult<membership::EndpointAnnouncement> parseAnnouncement(std::string_view body);

/// Receives the announcements of endpoints and synchronizes the router with the directory. Thread-safe.
class EndpointService {
public:
    EndpointService(LiveDirectory& directory, LiveRouter& router, Dispatcher& dispatcher);

    [[nodiscard]] PipelineResult<void> announce(std::string_view body);
    [[nodiscard]] PipelineResult<void> leave(std::string_view body);

    /// Synchronizes the router's endpoints of these services with the directory's candidates and assigns free slots to
    /// waiting requests. To be called several times a second.
    void refresh(const std::vector<ServiceName>& services);

private:
    /// State of an endpoint as last passed to the router.
    struct PublishedState {
        TimePoint updatedAt {};
        std::vector<std::uint64_t> prefixes;
        std::uint64_t lastCacheEvent = 0;
        std::uint64_t incarnation = 0;
    };

    void refreshService(const ServiceName& service);
    void updateRouter(const membership::EndpointRecord& record, PublishedState& published);

    LiveDirectory& m_directory;
    LiveRouter& m_router;
    Dispatcher& m_dispatcher;
    std::mutex m_mutex;
    std::map<ServiceName, std::map<EndpointId, PublishedState>> m_published;
};

}
