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
    /// Takes over events that were kept.
    explicit ItemText(std::vector<batch::TextEvent> events) noexcept
        : m_events(std::move(events))
    {
    }

    /// Adds the event with this number, counted from 1. False if it is not the next one.
    [[nodiscard]] bool append(std::uint64_t number, std::string data, WeightVersion version);
    void clear() { m_events.clear(); }

    [[nodiscard]] std::uint64_t events() const noexcept { return m_events.size(); }
    /// The events behind a number of them.
    [[nodiscard]] std::vector<batch::TextEvent> after(std::uint64_t number) const { return { m_events.begin() + static_cast<std::ptrdiff_t>(number), m_events.end() }; }
    /// The data of all events, separated by line feeds.
    [[nodiscard]] std::string output() const;
    /// The versions that made an event, in the order of first use.
    [[nodiscard]] std::vector<WeightVersion> versions() const;

private:
    std::vector<batch::TextEvent> m_events;
};

/// Whether a job with these bounds may use a text that these versions made.
[[nodiscard]] bool fitsVersions(const std::vector<WeightVersion>& versions, WeightVersion minVersion, bool isSingleVersion);

}
