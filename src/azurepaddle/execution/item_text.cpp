#include "azurepaddle/execution/item_text.hpp"

#include <algorithm>

namespace azurepaddle::execution {

ItemText::ItemText(batch::TextPart recorded) noexcept
    : m_events(std::move(recorded.events))
    , m_software(std::move(recorded.software))
    , m_recordedEvents(m_events.size())
    , m_isEndRecorded(recorded.isLast)
{
    for (const batch::TextEvent& event : m_events)
        m_bytes += event.data.size();
}

bool ItemText::continueWith(const SoftwareVersion& software)
{
    const bool fits = m_events.empty() || (!m_software.empty() && m_software == software);
    if (!fits)
        clear();
    m_software = software;
    return fits;
}

bool ItemText::append(std::uint64_t number, std::string data, WeightVersion version)
{
    if (number != m_events.size() + 1)
        return false;
    m_bytes += data.size();
    m_events.push_back({ std::move(data), version });
    return true;
}

batch::TextPart ItemText::takeUnrecordedPart(const batch::ItemId& item)
{
    batch::TextPart part { item, m_recordedEvents + 1, { m_events.begin() + static_cast<std::ptrdiff_t>(m_recordedEvents), m_events.end() }, false, m_software };
    m_recordedEvents = m_events.size();
    return part;
}

std::optional<batch::TextPart> ItemText::takeUnrecorded(const batch::ItemId& item, std::uint64_t minEvents, std::uint64_t minUnrecorded)
{
    if (m_events.size() < minEvents || m_events.size() < m_recordedEvents + minUnrecorded)
        return std::nullopt;
    return takeUnrecordedPart(item);
}

batch::TextPart ItemText::takeRest(const batch::ItemId& item)
{
    batch::TextPart part = takeUnrecordedPart(item);
    part.isLast = true;
    m_isEndRecorded = true;
    return part;
}

bool satisfiesVersionBounds(const std::vector<WeightVersion>& versions, WeightVersion minVersion, bool isSingleVersion)
{
    return std::all_of(versions.begin(), versions.end(), [minVersion](WeightVersion version) { return version >= minVersion; }) && (!isSingleVersion || versions.size() <= 1);
}

}
