#pragma once

#include "azurepaddle/codec/codec.hpp"
#include "azurepaddle/core/ident.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace azurepaddle::batch {

/// One batch job, named by its submitter.
using JobId = Identifier<struct JobTag>;
/// One item of a job, named by its submitter. The same item may come again in a later job.
using ItemId = Identifier<struct ItemTag>;
/// A model whose weights change by version.
using ModelName = Identifier<struct ModelTag>;

/// A header field that an item wants sent with its request.
struct ItemField {
    std::string name;
    std::string value;

    friend bool operator==(const ItemField&, const ItemField&) = default;
    MSGPACK_DEFINE(name, value)
};

/// A request to a reward service that scores the complete text of an item.
struct RewardCall {
    std::string id;
    std::string host; ///< Selects the route together with the path.
    std::string path;
    std::string body;

    friend bool operator==(const RewardCall&, const RewardCall&) = default;
    MSGPACK_DEFINE(id, host, path, body)
};

/// One generation request of a job.
struct ItemSpec {
    ItemId id;
    std::string path;
    std::vector<ItemField> fields;
    std::string body;
    GroupId group; ///< Items of one group share their prompt.
    std::uint64_t promptTokens = 0;
    std::uint64_t expectedTokens = 0; ///< Output tokens, by the submitter's estimate.
    RewardCall reward {}; ///< Without an id: the item needs no score.

    [[nodiscard]] bool needsScore() const noexcept { return !reward.id.empty(); }

    friend bool operator==(const ItemSpec&, const ItemSpec&) = default;
    MSGPACK_DEFINE(id, path, fields, body, group, promptTokens, expectedTokens, reward)
};

/// A batch job as submitted.
struct JobSpec {
    JobId id;
    std::string host; ///< Selects the route together with each item's path.
    ModelName model;
    std::uint64_t step = 0;
    WeightVersion minVersion = 0; ///< Oldest weights that may generate a token of it.
    std::uint32_t groupCount = 0; ///< Complete groups that its submitter waits for.
    std::uint32_t maxAttempts = 1;
    std::uint64_t dueMs = 0; ///< After its submission, in milliseconds.
    std::uint64_t retentionMs = 0; ///< After its submission; then items may be given up.
    bool isSingleVersion = false; ///< All tokens of an item must come from one version.
    std::vector<ItemSpec> items;

    friend bool operator==(const JobSpec&, const JobSpec&) = default;
    MSGPACK_DEFINE(id, host, model, step, minVersion, groupCount, maxAttempts, dueMs, retentionMs, isSingleVersion, items)
};

enum class ResultState : std::uint8_t {
    Completed,
    Abandoned, ///< Given up for good.
};

/// The outcome of one item.
struct ItemResult {
    ItemId id;
    ResultState state = ResultState::Completed;
    std::string output;
    std::vector<WeightVersion> versions; ///< Those that generated a token of the output, in the order of first use.
    std::string score {}; ///< Of its reward call; empty if the item needs none.

    friend bool operator==(const ItemResult&, const ItemResult&) = default;
    MSGPACK_DEFINE(id, state, output, versions, score)
};

/// Answers of 500 that an item got before its result was listed.
struct ItemFailures {
    ItemId item;
    std::uint32_t runs = 0; ///< To its generation.
    std::uint32_t rewardCalls = 0; ///< To its reward call.

    friend bool operator==(const ItemFailures&, const ItemFailures&) = default;
    MSGPACK_DEFINE(item, runs, rewardCalls)
};

/// A completed item whose text is held already.
struct ScoredItem {
    ItemId item;
    std::string score;
    std::uint64_t textDigest = 0; ///< Of the text that was scored; another text of the item does not get the score.

    friend bool operator==(const ScoredItem&, const ScoredItem&) = default;
    MSGPACK_DEFINE(item, score, textDigest)
};

}

MSGPACK_ADD_ENUM(azurepaddle::batch::ResultState)
