#pragma once

#include "azurepaddle/batch/types.hpp"

#include <optional>
#include <string>
#include <vector>

namespace azurepaddle::execution {

/// The text of one item as far as it was generated, with the weights that made each event.
class ItemText {
public:
    /// Adds the event with this number, counted from 1. False if it is not the next one.
    [[nodiscard]] bool append(std::uint64_t number, std::string data, WeightVersion version);
    void markComplete() noexcept { m_isComplete = true; }
    void clear();

    [[nodiscard]] bool isComplete() const noexcept { return m_isComplete; }
    [[nodiscard]] std::uint64_t events() const noexcept { return m_events.size(); }
    /// The data of all events, separated by line feeds.
    [[nodiscard]] std::string output() const;
    /// The versions that made an event, in the order of first use.
    [[nodiscard]] std::vector<WeightVersion> versions() const;
    /// Whether a job with these bounds may use the text.
    [[nodiscard]] bool fits(WeightVersion minVersion, bool isSingleVersion) const;

private:
    struct Event {
        std::string data;
        WeightVersion version = 0;
    };

    std::vector<Event> m_events;
    bool m_isComplete = false;
};

}
