#include "azurepaddle/execution/item_text.hpp"

#include <algorithm>

namespace azurepaddle::execution {

bool ItemText::append(std::uint64_t number, std::string data, WeightVersion version)
{
    if (number != m_events.size() + 1)
        return false;
    m_events.push_back({ std::move(data), version });
    return true;
}

std::optional<batch::TextPart> ItemText::takeUnrecorded(const batch::ItemId& item, std::uint64_t least, std::uint64_t leastNew)
{
    if (m_events.size() < least || m_events.size() < m_recorded + leastNew)
        return std::nullopt;
    batch::TextPart part { item, m_recorded + 1, { m_events.begin() + static_cast<std::ptrdiff_t>(m_recorded), m_events.end() } };
    m_recorded = m_events.size();
    return part;
}

std::string ItemText::output() const
{
    std::string output;
    for (const batch::TextEvent& event : m_events) {
        if (&event != &m_events.front())
            output.push_back('\n');
        output += event.data;
    }
    return output;
}

std::vector<WeightVersion> ItemText::versions() const
{
    std::vector<WeightVersion> versions;
    for (const batch::TextEvent& event : m_events) {
        if (std::find(versions.begin(), versions.end(), event.version) == versions.end())
            versions.push_back(event.version);
    }
    return versions;
}

bool fitsVersions(const std::vector<WeightVersion>& versions, WeightVersion minVersion, bool isSingleVersion)
{
    return std::all_of(versions.begin(), versions.end(), [minVersion](WeightVersion version) { return version >= minVersion; }) && (!isSingleVersion || versions.size() <= 1);
}

}
