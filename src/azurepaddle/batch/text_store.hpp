#pragma once

#include "azurepaddle/batch/types.hpp"

#include <map>
#include <vector>

namespace azurepaddle::batch {

/// One event of an item's text and the version that made it.
struct TextEvent {
    std::string data;
    WeightVersion version = 0;

    friend bool operator==(const TextEvent&, const TextEvent&) = default;
    MSGPACK_DEFINE(data, version)
};

/// Events of an item that runs, from a number on. Numbers count from 1.
struct TextPart {
    ItemId item;
    std::uint64_t firstEvent = 1;
    std::vector<TextEvent> events;

    friend bool operator==(const TextPart&, const TextPart&) = default;
    MSGPACK_DEFINE(item, firstEvent, events)
};

/// The agreed texts of items that are not listed yet, so that a new leader goes on with them. Deterministic.
class TextStore {
public:
    /// Adds events that continue what is held. A part that begins at event 1 replaces it; a part with a gap is ignored.
    void add(const TextPart& part);
    void forget(const ItemId& item);
    /// The events held of an item; none if it is unknown.
    [[nodiscard]] std::vector<TextEvent> find(const ItemId& item) const;
    [[nodiscard]] std::size_t size() const noexcept { return m_texts.size(); }

    [[nodiscard]] std::vector<TextPart> snapshot() const;
    void restore(const std::vector<TextPart>& parts);

private:
    std::map<ItemId, std::vector<TextEvent>> m_texts;
};

}
