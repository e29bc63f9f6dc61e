#include "azurepaddle/batch/prefix_cache.hpp"

#include <algorithm>
#include <iterator>

namespace azurepaddle::batch {

namespace {

    // An endpoint that has not begun to answer for this long may be queueing the request, so nobody waits for its prompt.
    constexpr Duration maxStartTime = std::chrono::milliseconds(25);
    // Bounds the memory used for prompts of very small parts.
    constexpr std::size_t maxPartsPerEndpoint = 4096;

}

std::uint64_t countTokens(const std::vector<PromptPart>& prompt) noexcept
{
    std::uint64_t tokens = 0;
    for (const PromptPart& part : prompt)
        tokens += part.tokens;
    return tokens;
}

void PrefixCache::recordSent(std::uint64_t run, const PromptHolder& holder, std::uint64_t capacity, const std::vector<PromptPart>& prompt, std::uint64_t outputTokens, TimePoint now)
{
    recordEnded(run);
    if (capacity == 0 || prompt.empty())
        return;
    Memory& memory = openMemory(holder, capacity);
    ModelParts& known = memory.models[holder.model];
    // The first part is used last, because the parts after it are of no use without it.
    for (auto part = prompt.rbegin(); part != prompt.rend(); ++part) {
        const auto found = known.byId.find(part->id);
        if (found != known.byId.end()) {
            memory.parts.splice(memory.parts.begin(), memory.parts, found->second);
        } else {
            memory.parts.push_front({ holder.model, *part, 0, false, now });
            known.byId[part->id] = memory.parts.begin();
            memory.usedTokens += part->tokens;
        }
        memory.runningTokens += memory.parts.front().runs++ == 0 ? memory.parts.front().part.tokens : 0;
    }
    memory.usedTokens += outputTokens;
    memory.runningTokens += outputTokens;
    m_runs[run] = { holder, prompt, outputTokens };
    evict(memory);
}

void PrefixCache::recordBegun(std::uint64_t run, std::optional<WeightVersion> version)
{
    const auto found = m_runs.find(run);
    Memory* memory = found == m_runs.end() ? nullptr : memoryOf(found->second);
    if (!memory)
        return;
    Run& begun = found->second;
    if (version && *version != begun.holder.version) {
        // The weights were changed after the request was placed.
        Run sentAgain = begun;
        sentAgain.holder.version = *version;
        recordSent(run, sentAgain.holder, memory->capacity, sentAgain.prompt, sentAgain.outputTokens, {});
        return recordBegun(run, version);
    }
    ModelParts& known = memory->models[begun.holder.model];
    if (known.version != begun.holder.version)
        return;
    for (const PromptPart& part : begun.prompt) {
        if (const auto held = known.byId.find(part.id); held != known.byId.end())
            held->second->isHeld = true;
    }
}

void PrefixCache::recordGenerated(std::uint64_t run, std::uint64_t tokens)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end())
        return;
    Memory* memory = memoryOf(found->second);
    if (!memory)
        return;
    found->second.outputTokens += tokens;
    memory->usedTokens += tokens;
    memory->runningTokens += tokens;
    evict(*memory);
}

void PrefixCache::recordEnded(std::uint64_t run)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end())
        return;
    const Run ended = std::move(found->second);
    m_runs.erase(found);
    Memory* memory = memoryOf(ended);
    if (!memory)
        return;
    memory->usedTokens -= std::min(memory->usedTokens, ended.outputTokens);
    memory->runningTokens -= std::min(memory->runningTokens, ended.outputTokens);
    if (memory->models[ended.holder.model].version == ended.holder.version)
        releaseParts(*memory, ended);
    evict(*memory);
}

void PrefixCache::releaseParts(Memory& memory, const Run& run)
{
    ModelParts& known = memory.models[run.holder.model];
    for (const PromptPart& part : run.prompt) {
        const auto found = known.byId.find(part.id);
        if (found == known.byId.end() || --found->second->runs > 0)
            continue;
        memory.runningTokens -= std::min<std::uint64_t>(memory.runningTokens, found->second->part.tokens);
        if (!found->second->isHeld)
            erase(memory, found->second);
    }
}

void PrefixCache::retainOnly(const std::set<EndpointId>& endpoints)
{
    std::erase_if(m_memories, [&](const auto& entry) { return !endpoints.contains(entry.first); });
    std::erase_if(m_runs, [&](const auto& entry) { return !endpoints.contains(entry.second.holder.endpoint); });
}

void PrefixCache::clear()
{
    m_memories.clear();
    m_runs.clear();
}

HeldPrompt PrefixCache::find(const PromptHolder& holder, const std::vector<PromptPart>& prompt, TimePoint now) const
{
    const auto memory = m_memories.find(holder.endpoint);
    if (memory == m_memories.end() || memory->second.startedMs != holder.startedMs)
        return {};
    const auto known = memory->second.models.find(holder.model);
    if (known == memory->second.models.end() || known->second.version != holder.version)
        return {};
    HeldPrompt held;
    for (const PromptPart& part : prompt) {
        const auto found = known->second.byId.find(part.id);
        if (found == known->second.byId.end())
            break;
        if (found->second->isHeld && held.startingTokens == 0)
            held.tokens += part.tokens;
        else if (found->second->isHeld || now - found->second->sentAt <= maxStartTime)
            held.startingTokens += part.tokens;
        else
            break;
    }
    return held;
}

std::uint64_t PrefixCache::findShortage(const PromptHolder& holder, std::uint64_t tokens) const
{
    const auto found = m_memories.find(holder.endpoint);
    if (found == m_memories.end() || found->second.startedMs != holder.startedMs)
        return 0;
    const std::uint64_t needed = found->second.runningTokens + tokens;
    return needed - std::min(needed, found->second.capacity);
}

std::size_t PrefixCache::partCount(const EndpointId& endpoint) const
{
    const auto found = m_memories.find(endpoint);
    return found == m_memories.end() ? 0 : found->second.parts.size();
}

/// The memory of the holder, emptied if the endpoint has restarted, without parts of other weights of the model.
PrefixCache::Memory& PrefixCache::openMemory(const PromptHolder& holder, std::uint64_t capacity)
{
    Memory& memory = m_memories[holder.endpoint];
    if (memory.startedMs != holder.startedMs) {
        memory = {};
        memory.startedMs = holder.startedMs;
    }
    memory.capacity = capacity;
    setVersion(memory, holder.model, holder.version);
    return memory;
}

/// The memory in which a run is counted, or null if the endpoint has restarted or is gone.
PrefixCache::Memory* PrefixCache::memoryOf(const Run& run)
{
    const auto memory = m_memories.find(run.holder.endpoint);
    if (memory == m_memories.end() || memory->second.startedMs != run.holder.startedMs)
        return nullptr;
    return &memory->second;
}

void PrefixCache::setVersion(Memory& memory, const ModelName& model, WeightVersion version)
{
    ModelParts& known = memory.models[model];
    if (known.version != version) {
        while (!known.byId.empty())
            erase(memory, known.byId.begin()->second);
    }
    known.version = version;
}

void PrefixCache::erase(Memory& memory, PartList::iterator part)
{
    memory.usedTokens -= std::min<std::uint64_t>(memory.usedTokens, part->part.tokens);
    if (part->runs > 0)
        memory.runningTokens -= std::min<std::uint64_t>(memory.runningTokens, part->part.tokens);
    memory.models[part->model].byId.erase(part->part.id);
    memory.parts.erase(part);
}

/// Evicts the least recently used parts that no running request needs until the rest fits.
void PrefixCache::evict(Memory& memory)
{
    auto part = memory.parts.end();
    while ((memory.usedTokens > memory.capacity || memory.parts.size() > maxPartsPerEndpoint) && part != memory.parts.begin()) {
        --part;
        if (part->runs == 0) {
            const auto evicted = part++;
            erase(memory, evicted);
        }
    }
}

}
