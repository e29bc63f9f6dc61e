#include "azurepaddle/batch/text_store.hpp"

namespace azurepaddle::batch {

void TextStore::add(const TextPart& part)
{
    std::vector<TextEvent>& events = m_texts[part.item];
    if (part.firstEvent == 1)
        events.clear();
    if (part.firstEvent == events.size() + 1)
        events.insert(events.end(), part.events.begin(), part.events.end());
}

void TextStore::forget(const ItemId& item)
{
    m_texts.erase(item);
}

std::vector<TextEvent> TextStore::find(const ItemId& item) const
{
    const auto found = m_texts.find(item);
    return found == m_texts.end() ? std::vector<TextEvent>() : found->second;
}

std::vector<TextPart> TextStore::snapshot() const
{
    std::vector<TextPart> parts;
    for (const auto& [item, events] : m_texts)
        parts.push_back({ item, 1, events });
    return parts;
}

void TextStore::restore(const std::vector<TextPart>& parts)
{
    m_texts.clear();
    for (const TextPart& part : parts)
        add(part);
}

}
