#pragma once

#include "azurepaddle/batch/types.hpp"

#include <map>
#include <optional>
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
    bool isLast = false; ///< The text is complete with these events.

    friend bool operator==(const TextPart&, const TextPart&) = default;
    MSGPACK_DEFINE(item, firstEvent, events, isLast)
};

/// The data of all events, separated by line feeds.
[[nodiscard]] std::string outputOf(const std::vector<TextEvent>& events);
/// Tells texts apart by their data and versions.
[[nodiscard]] std::uint64_t digestOf(const std::vector<TextEvent>& events);
/// The versions that made an event, in the order of first use.
[[nodiscard]] std::vector<WeightVersion> versionsOf(const std::vector<TextEvent>& events);

/// The agreed texts of items that are not listed yet, so that a new leader goes on with them. Deterministic.
class TextStore {
public:
    /// Adds events that continue what is held. A part that begins at event 1 replaces it; a part with a gap is ignored.
    void add(const TextPart& part);
    void forget(const ItemId& item);
    /// The events held of an item; none if it is unknown.
    [[nodiscard]] std::vector<TextEvent> find(const ItemId& item) const;
    [[nodiscard]] bool isComplete(const ItemId& item) const;
    /// The result of an item if the whole text that was scored is held; nothing otherwise.
    [[nodiscard]] std::optional<ItemResult> resultOf(const ScoredItem& scored) const;
    [[nodiscard]] std::size_t size() const noexcept { return m_texts.size(); }

    [[nodiscard]] std::vector<TextPart> snapshot() const;
    void restore(const std::vector<TextPart>& parts);

private:
    struct Text {
        std::vector<TextEvent> events;
        bool isComplete = false;
    };

    std::map<ItemId, Text> m_texts;
};

}
