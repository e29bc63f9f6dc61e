#include "azurepaddle/execution/item_text.hpp"

#include <algorithm>

namespace azurepaddle::execution {

bool ItemText::append(std::uint64_t number, std::string data, WeightVersion version)
{
    if (m_isComplete || number != m_events.size() + 1)
        return false;
    m_events.push_back({ std::move(data), version });
    return true;
}

void ItemText::clear()
{
    m_events.clear();
    m_isComplete = false;
}

std::string ItemText::output() const
{
    std::string output;
    for (const Event& event : m_events) {
        if (&event != &m_events.front())
            output.push_back('\n');
        output += event.data;
    }
    return output;
}

std::vector<WeightVersion> ItemText::versions() const
{
    std::vector<WeightVersion> versions;
    for (const Event& event : m_events) {
        if (std::find(versions.begin(), versions.end(), event.version) == versions.end())
            versions.push_back(event.version);
    }
    return versions;
}

bool ItemText::fits(WeightVersion minVersion, bool isSingleVersion) const
{
    const auto used = versions();
    return std::all_of(used.begin(), used.end(), [minVersion](WeightVersion version) { return version >= minVersion; }) && (!isSingleVersion || used.size() <= 1);
}

}
