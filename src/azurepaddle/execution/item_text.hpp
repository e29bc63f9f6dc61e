#pragma once

#include "azurepaddle/batch/text_store.hpp"

#include <optional>
#include <string>
#include <vector>

namespace azurepaddle::execution {

/// The text of one item as far as it was generated, with the weights that made each event.
class ItemText {
public:
    ItemText() = default;
    /// Takes over events that are recorded.
    explicit ItemText(std::vector<batch::TextEvent> events) noexcept
        : m_events(std::move(events))
        , m_recorded(m_events.size())
    {
    }

    /// Adds the event with this number, counted from 1. False if it is not the next one.
    [[nodiscard]] bool append(std::uint64_t number, std::string data, WeightVersion version);
    /// Begins the text again: what was recorded of it is void.
    void clear()
    {
        m_events.clear();
        m_recorded = 0;
    }

    [[nodiscard]] std::uint64_t events() const noexcept { return m_events.size(); }
    /// The events that are not recorded yet, which count as recorded from now on. Nothing while the text has fewer events
    /// than `least`, or fewer new ones than `leastNew`.
    [[nodiscard]] std::optional<batch::TextPart> takeUnrecorded(const batch::ItemId& item, std::uint64_t least, std::uint64_t leastNew);
    /// The data of all events, separated by line feeds.
    [[nodiscard]] std::string output() const;
    /// The versions that made an event, in the order of first use.
    [[nodiscard]] std::vector<WeightVersion> versions() const;

private:
    std::vector<batch::TextEvent> m_events;
    std::uint64_t m_recorded = 0; ///< Events that were taken for the record.
};

/// Whether a job with these bounds may use a text that these versions made.
[[nodiscard]] bool fitsVersions(const std::vector<WeightVersion>& versions, WeightVersion minVersion, bool isSingleVersion);

}
