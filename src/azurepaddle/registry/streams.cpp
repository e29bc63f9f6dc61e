#include "azurepaddle/registry/streams.hpp"

namespace azurepaddle::registry {

void Streams::record(const StreamRecord& stream)
{
    if (stream.id.empty() || stream.id.value().size() > maxIdBytes)
        return;
    const auto [known, isNew] = m_origins.emplace(stream.id, stream.origin);
    if (!isNew) {
        if (known->second != stream.origin)
            known->second.software = {};
        return;
    }
    m_oldestFirst.push_back(stream.id);
    if (m_oldestFirst.size() <= maxStreams)
        return;
    m_origins.erase(m_oldestFirst.front());
    m_oldestFirst.pop_front();
}

std::optional<StreamOrigin> Streams::find(const StreamId& id) const
{
    const auto found = m_origins.find(id);
    const bool isKnown = found != m_origins.end() && !found->second.software.empty();
    return isKnown ? std::optional(found->second) : std::nullopt;
}

std::vector<StreamRecord> Streams::snapshot() const
{
    std::vector<StreamRecord> streams;
    streams.reserve(m_oldestFirst.size());
    for (const StreamId& id : m_oldestFirst)
        streams.push_back({ id, m_origins.at(id) });
    return streams;
}

void Streams::restore(const std::vector<StreamRecord>& streams)
{
    m_origins.clear();
    m_oldestFirst.clear();
    for (const StreamRecord& stream : streams)
        record(stream);
}

}
