#include "azurepaddle/registry/failed_polls.hpp"

#include <fmt/format.h>
#include <utility>

namespace azurepaddle::registry {

namespace {

    // Bounds the length of a log line.
    constexpr std::size_t maxAddresses = 16;

}

void FailedPolls::record(const InstanceAddress& store)
{
    if (m_counts.size() < maxAddresses || m_counts.contains(store))
        ++m_counts[store];
    else
        ++m_others;
}

std::string FailedPolls::takeSummary()
{
    std::string text;
    for (const auto& [store, count] : std::exchange(m_counts, {}))
        text += fmt::format("{}{}={}", text.empty() ? "" : " ", formatAddress(store), count);
    if (const unsigned others = std::exchange(m_others, 0); others > 0)
        text += fmt::format(" others={}", others);
    return text;
}

}
