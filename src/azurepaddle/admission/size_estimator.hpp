#pragma once

#include "azurepaddle/admission/types.hpp"

#include <array>
#include <cstddef>
#include <mutex>
#include <unordered_map>

namespace azurepaddle::admission {

/// Settings of the size estimates.
struct SizeSettings {
    double promptTokenCost = 1.0 / 16; ///< Work of one prompt token against one token to generate.
    double defaultOutputTokens = 200; ///< Without history and limit.
    double longTokens = 512; ///< A request expected to generate more is long work.
    std::size_t minHistory = 20; ///< Finished requests before history counts.
    std::size_t maxHistories = 10000; ///< Tenants and runs remembered.

    friend bool operator==(const SizeSettings&, const SizeSettings&) = default;
};

/// Estimates the size of requests from what they state and from the tenant's history. Thread-safe.
class SizeEstimator {
public:
    explicit SizeEstimator(const SizeSettings& settings = {})
        : m_settings(settings)
    {
    }

    [[nodiscard]] SizeEstimate estimate(const RequestProfile& profile) const;

    /// The tokens that a finished request generated.
    void onFinished(const TenantName& tenant, const RunName& run, WorkClass workClass, double outputTokens);

    /// Work of a request in tokens to generate.
    [[nodiscard]] double cost(double promptTokens, double outputTokens) const noexcept;

private:
    struct History {
        double mean = 0;
        std::size_t count = 0;
    };

    /// One history for each stated class, and one for requests that state none.
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

    [[nodiscard]] double historicOutput(const RequestProfile& profile, WorkClass workClass) const;

    SizeSettings m_settings;
    std::array<Shard, shardCount> m_shards;
};

}
