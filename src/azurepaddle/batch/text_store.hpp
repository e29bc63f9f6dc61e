#pragma once

#include "azurepaddle/batch/types.hpp"

#include <map>
#include <optional>
#include <vector>

namespace azurepaddle::batch {

/// One event of an item's text and the weight version that generated it.
struct TextEvent {
    std::string data;
    WeightVersion version = 0;

    friend bool operator==(const TextEvent&, const TextEvent&) = default;
    MSGPACK_DEFINE(data, version)
};

/// Consecutive events of a running item. Event numbers start at 1.
struct TextPart {
    ItemId item;
    std::uint64_t firstEvent = 1;
    std::vector<TextEvent> events;
    bool isLast = false; ///< These events complete the text.

    friend bool operator==(const TextPart&, const TextPart&) = default;
    MSGPACK_DEFINE(item, firstEvent, events, isLast)
};

/// Joins the data of all events, separated by line feeds.
[[nodiscard]] std::string outputOf(const std::vector<TextEvent>& events);
/// Digest of the data and versions of all events.
[[nodiscard]] std::uint64_t digestOf(const std::vector<TextEvent>& events);
/// The versions that generated the events, in the order of first use.
[[nodiscard]] std::vector<WeightVersion> versionsOf(const std::vector<TextEvent>& events);

/// The replicated texts of items without a result, from which a new leader continues. Deterministic.
class TextStore {
public:
    /// Appends events to the stored text. A part that starts at event 1 replaces the text; a part that does not start
    /// at the next event is ignored.
    void add(const TextPart& part);
    void remove(const ItemId& item);
    /// The stored events of an item; empty if it is unknown.
    [[nodiscard]] std::vector<TextEvent> find(const ItemId& item) const;
    [[nodiscard]] bool isComplete(const ItemId& item) const;
    /// The result of an item if the complete text that was scored is stored; otherwise empty.
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
