#pragma once

#include "azurepaddle/admission/types.hpp"

#include <array>
#include <cstddef>
#include <mutex>
#include <unordered_map>

namespace azurepaddle::admission {

/// Settings of the size estimation.
struct SizeSettings {
    double promptTokenCost = 1.0 / 16; ///< Cost of one prompt token relative to one generated token.
    double defaultOutputTokens = 200; ///< Assumed for requests without a history and without a stated limit.
    double longWorkTokens = 512; ///< A request with a higher token limit is long work.
    std::size_t minHistory = 20; ///< Finished requests required before the history is used.
    std::size_t maxHistories = 10000; ///< Largest number of pairs of tenant and run with a history.

    friend bool operator==(const SizeSettings&, const SizeSettings&) = default;
};

/// Estimates the size of a request from its stated limits and from the history of its tenant and run. Thread-safe.
class SizeEstimator {
public:
    explicit SizeEstimator(const SizeSettings& settings = {})
        : m_settings(settings)
    {
    }

    [[nodiscard]] SizeEstimate estimate(const RequestProfile& profile) const;

    /// Records the number of tokens that a finished request generated.
    void onFinished(const TenantName& tenant, const RunName& run, WorkClass workClass, double outputTokens);

    /// The cost of a request, in generated tokens.
    [[nodiscard]] double cost(double promptTokens, double outputTokens) const noexcept;

private:
    struct History {
        double mean = 0;
        std::size_t count = 0;
    };

    /// Requests of one tenant and run share a history. It is kept separately for each work class.
    struct Key {
        TenantName tenant;
        RunName run;

        friend bool operator==(const Key&, const Key&) = default;
    };

    struct KeyHash {
        [[nodiscard]] std::size_t operator()(const Key& key) const noexcept
        {
            return std::hash<TenantName> {}(key.tenant) * 31 + std::hash<RunName> {}(key.run);
        }
    };

    struct Shard {
        mutable std::mutex mutex;
        std::unordered_map<Key, std::array<History, 2>, KeyHash> histories;
    };

    static constexpr std::size_t shardCount = 16;

    [[nodiscard]] double historicOutputTokens(const RequestProfile& profile, WorkClass workClass) const;

    SizeSettings m_settings;
    std::array<Shard, shardCount> m_shards;
};

}
