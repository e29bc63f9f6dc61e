#include "azurepaddle/registry/entry_list.hpp"

#include <algorithm>

namespace azurepaddle::registry {

namespace {

    // Entries poll about once a second.
    constexpr Duration maxPollAge = std::chrono::seconds(3);

}

void EntryList::record(const EntryStatus& status, TimePoint now)
{
    if (!status.address.empty())
        m_entries[status.address] = { status, now };
}

std::vector<EntryStatus> EntryList::takingRequests(TimePoint now)
{
    std::erase_if(m_entries, [now](const auto& entry) { return now - entry.second.polledAt > maxPollAge; });
    std::vector<EntryStatus> entries;
    for (const auto& [address, entry] : m_entries) {
        if (entry.status.takesRequests)
            entries.push_back(entry.status);
    }
    if (entries.size() <= maxListed)
        return entries;
    const std::size_t first = (m_rotation += maxListed) % entries.size();
    std::rotate(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(first), entries.end());
    entries.resize(maxListed);
    return entries;
}

}
