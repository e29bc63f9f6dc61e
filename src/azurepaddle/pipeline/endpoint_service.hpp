#pragma once

#include "azurepaddle/pipeline/dispatcher.hpp"

#include <map>
#include <mutex>
#include <string_view>

namespace azurepaddle::pipeline {

/// Reads an announcement of an endpoint from JSON.
[[nodiscard]] PipelineResult<membership::EndpointAnnouncement> parseAnnouncement(std::string_view body);

/// Takes the announcements of endpoints and keeps the router in step with the directory. Thread-safe.
class EndpointService {
public:
    EndpointService(LiveDirectory& directory, LiveRouter& router, Dispatcher& dispatcher);

    [[nodiscard]] PipelineResult<void> announce(std::string_view body);
    [[nodiscard]] PipelineResult<void> leave(std::string_view body);

    /// Makes the router's endpoints of these services equal to the directory's candidates and gives free slots to
    /// waiting requests. To be called several times a second.
    void refresh(const std::vector<ServiceName>& services);

private:
    struct Known {
        TimePoint updatedAt {};
        std::vector<std::uint64_t> prefixes;
        std::uint64_t lastEvent = 0;
        std::uint64_t incarnation = 0;
    };

    void refreshService(const ServiceName& service);
    void updateRouter(const membership::EndpointRecord& record, Known& known);

    LiveDirectory& m_directory;
    LiveRouter& m_router;
    Dispatcher& m_dispatcher;
    std::mutex m_mutex;
    std::map<ServiceName, std::map<EndpointId, Known>> m_known;
};

}
