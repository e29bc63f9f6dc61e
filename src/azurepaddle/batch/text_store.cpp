#include "azurepaddle/batch/text_store.hpp"

#include <algorithm>

// xxhash.h declares functions of a separately linked library unless this macro makes them inline.
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace azurepaddle::batch {

std::string outputOf(const std::vector<TextEvent>& events)
{
    std::string output;
    for (const TextEvent& event : events) {
        if (&event != &events.front())
            output.push_back('\n');
        output += event.data;
    }
    return output;
}

std::vector<WeightVersion> versionsOf(const std::vector<TextEvent>& events)
{
    std::vector<WeightVersion> versions;
    for (const TextEvent& event : events) {
        if (std::find(versions.begin(), versions.end(), event.version) == versions.end())
            versions.push_back(event.version);
    }
    return versions;
}

std::uint64_t digestOf(const std::vector<TextEvent>& events)
{
    std::uint64_t digest = events.size();
    for (const TextEvent& event : events)
        digest = XXH3_64bits_withSeed(event.data.data(), event.data.size(), digest ^ event.version);
    return digest;
}

void TextStore::add(const TextPart& part)
{
    Text& text = m_texts[part.item];
    if (part.firstEvent == 1)
        text = { {}, false, part.software };
    if (part.firstEvent != text.events.size() + 1 || part.software != text.software)
        return;
    text.events.insert(text.events.end(), part.events.begin(), part.events.end());
    text.isComplete = part.isLast;
}

void TextStore::remove(const ItemId& item)
{
    m_texts.erase(item);
}

TextPart TextStore::find(const ItemId& item) const
{
    const auto found = m_texts.find(item);
    if (found == m_texts.end())
        return { item, 1, {} };
    const Text& text = found->second;
    return { item, 1, text.events, text.isComplete, text.software };
}

std::optional<ItemResult> TextStore::resultOf(const ScoredItem& scored) const
{
    const auto found = m_texts.find(scored.item);
    if (found == m_texts.end() || !found->second.isComplete)
        return std::nullopt;
    const std::vector<TextEvent>& events = found->second.events;
    if (digestOf(events) != scored.textDigest)
        return std::nullopt;
    return ItemResult { scored.item, ResultState::Completed, outputOf(events), versionsOf(events), scored.score };
}

std::vector<TextPart> TextStore::snapshot() const
{
    std::vector<TextPart> parts;
    for (const auto& [item, text] : m_texts)
        parts.push_back(find(item));
    return parts;
}

void TextStore::restore(const std::vector<TextPart>& parts)
{
    m_texts.clear();
    for (const TextPart& part : parts)
        add(part);
}

}
