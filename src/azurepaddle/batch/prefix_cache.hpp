#pragma once

#include "azurepaddle/batch/types.hpp"
#include "azurepaddle/core/clock.hpp"

#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace azurepaddle::batch {

/// Identifies what an endpoint can reuse for a model: parts of prompts processed by another incarnation or with other
/// weights are of no use.
struct PromptHolder {
    EndpointId endpoint;
    std::uint64_t startedMs = 0;
    ModelName model;
    WeightVersion version = 0;

    friend bool operator==(const PromptHolder&, const PromptHolder&) = default;
};

/// How much of a prompt an endpoint need not process again.
struct HeldPrompt {
    std::uint64_t tokens = 0; ///< Of the parts that the endpoint holds.
    std::uint64_t startingTokens = 0; ///< Of the parts after them that a request sent a moment ago will add.

    friend bool operator==(const HeldPrompt&, const HeldPrompt&) = default;
};

/// Number of tokens of a prompt.
[[nodiscard]] std::uint64_t countTokens(const std::vector<PromptPart>& prompt) noexcept;

/// Predicts which parts of prompts each endpoint holds, from the requests sent there and nothing else. Running requests
/// and parts of ended ones share a memory of a fixed number of tokens, from which the least recently used part that no
/// running request needs is evicted. A restart discards everything, other weights discard the parts of their model. Other
/// senders are not known, so an endpoint may hold less than predicted; it then processes the prompt again.
class PrefixCache {
public:
    /// Adds a request that is sent to an endpoint. The run number identifies it in later calls. The output tokens are those
    /// that it continues. Without a capacity nothing is predicted.
    void recordSent(std::uint64_t run, const PromptHolder& holder, std::uint64_t capacity, const std::vector<PromptPart>& prompt, std::uint64_t outputTokens, TimePoint now);
    /// The endpoint has begun to answer, so it holds the prompt. The version is empty if the answer does not name it.
    void recordBegun(std::uint64_t run, std::optional<WeightVersion> version);
    /// Adds tokens that a running request has generated.
    void recordGenerated(std::uint64_t run, std::uint64_t tokens);
    /// Ends a request. Its prompt stays held if the endpoint had begun to answer.
    void recordEnded(std::uint64_t run);
    /// Forgets all endpoints except these.
    void retainOnly(const std::set<EndpointId>& endpoints);
    void clear();

    [[nodiscard]] HeldPrompt find(const PromptHolder& holder, const std::vector<PromptPart>& prompt, TimePoint now) const;
    /// Number of tokens by which running requests would exceed the memory of an endpoint if they needed this many more.
    [[nodiscard]] std::uint64_t findShortage(const PromptHolder& holder, std::uint64_t tokens) const;
    /// Number of parts that are predicted to be held by an endpoint.
    [[nodiscard]] std::size_t partCount(const EndpointId& endpoint) const;

private:
    struct Part {
        ModelName model;
        PromptPart part;
        std::uint32_t runs = 0; ///< Running requests with this part.
        bool isHeld = false; ///< The endpoint has begun a request with it.
        TimePoint sentAt; ///< Time of the first request with it.
    };
    using PartList = std::list<Part>;

    /// The parts of one model.
    struct ModelParts {
        WeightVersion version = 0;
        std::unordered_map<std::uint64_t, PartList::iterator> byId;
    };

    struct Memory {
        std::uint64_t startedMs = 0;
        std::uint64_t capacity = 0;
        std::uint64_t usedTokens = 0; ///< Of parts and of the output of running requests.
        std::uint64_t runningTokens = 0; ///< The same without parts that no running request needs.
        PartList parts; ///< Most recently used first.
        std::map<ModelName, ModelParts> models;
    };

    struct Run {
        PromptHolder holder;
        std::vector<PromptPart> prompt;
        std::uint64_t outputTokens = 0;
    };

    Memory& openMemory(const PromptHolder& holder, std::uint64_t capacity);
    [[nodiscard]] Memory* memoryOf(const Run& run);
    static void releaseParts(Memory& memory, const Run& run);
    static void setVersion(Memory& memory, const ModelName& model, WeightVersion version);
    static void erase(Memory& memory, PartList::iterator part);
    static void evict(Memory& memory);

    std::map<EndpointId, Memory> m_memories;
    std::unordered_map<std::uint64_t, Run> m_runs;
};

}
