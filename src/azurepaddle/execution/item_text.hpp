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
    /// Takes over events that are recorded, all of the text or its beginning.
    ItemText(std::vector<batch::TextEvent> events, bool isComplete) noexcept;

    /// Adds the event with this number, counted from 1. False if it is not the next one.
    [[nodiscard]] bool append(std::uint64_t number, std::string data, WeightVersion version);
    /// Begins the text again: what was recorded of it is void.
    void clear()
    {
        m_events.clear();
        m_recordedEvents = 0;
        m_isEndRecorded = false;
        m_bytes = 0;
    }

    [[nodiscard]] std::uint64_t eventCount() const noexcept { return m_events.size(); }
    /// The events that are not recorded yet, which count as recorded from now on. Nothing while the text has fewer events
    /// than `least`, or fewer new ones than `leastNew`.
    [[nodiscard]] std::optional<batch::TextPart> takeUnrecorded(const batch::ItemId& item, std::uint64_t minEvents, std::uint64_t minUnrecorded);
    /// The events that are not recorded yet, as the end of the text. All of it counts as recorded from now on.
    [[nodiscard]] batch::TextPart takeRest(const batch::ItemId& item);
    /// Whether the end of the text was taken for the record.
    [[nodiscard]] bool isEndRecorded() const noexcept { return m_isEndRecorded; }
    [[nodiscard]] std::uint64_t digest() const { return batch::digestOf(m_events); }
    [[nodiscard]] std::string output() const { return batch::outputOf(m_events); }
    [[nodiscard]] std::vector<WeightVersion> versions() const { return batch::versionsOf(m_events); }
    /// Bytes of the data of all events.
    [[nodiscard]] std::size_t bytes() const noexcept { return m_bytes; }

private:
    [[nodiscard]] batch::TextPart takeUnrecordedPart(const batch::ItemId& item);

    std::vector<batch::TextEvent> m_events;
    std::uint64_t m_recordedEvents = 0; ///< Events that were taken for the record.
    bool m_isEndRecorded = false;
    std::size_t m_bytes = 0;
};

/// Whether a job with these bounds may use a text that these versions made.
[[nodiscard]] bool satisfiesVersionBounds(const std::vector<WeightVersion>& versions, WeightVersion minVersion, bool isSingleVersion);

}
