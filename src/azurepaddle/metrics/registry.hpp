#pragma once

#include "azurepaddle/core/ident.hpp"
#include "azurepaddle/core/work.hpp"
#include "azurepaddle/metrics/histogram.hpp"

#include <array>
#include <atomic>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace azurepaddle::metrics {

/// The labels of one series. An empty tenant and no class stand for a series of the whole process.
struct Labels {
    TenantName tenant;
    std::optional<WorkClass> workClass;

    friend auto operator<=>(const Labels&, const Labels&) = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 reports a false positive
    friend bool operator==(const Labels&, const Labels&) = default;
};

/// A counter that only increases.
class Counter {
public:
    void add(std::uint64_t amount = 1) noexcept { m_value.fetch_add(amount, std::memory_order_relaxed); }
    [[nodiscard]] std::uint64_t value() const noexcept { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value { 0 };
};

/// A value that can increase and decrease.
class Gauge {
public:
    void set(double value) noexcept { m_value.store(value, std::memory_order_relaxed); }
    [[nodiscard]] double value() const noexcept { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<double> m_value { 0 };
};

/// A snapshot of all series, by metric name and labels.
struct Snapshot {
    std::map<std::string, std::map<Labels, std::uint64_t>> counters;
    std::map<std::string, std::map<Labels, double>> gauges;
    std::map<std::string, std::map<Labels, HistogramSnapshot>> histograms;

    /// Adds the counters, gauges and histograms of another instance.
    void merge(const Snapshot& other);

    /// One histogram over all tenants and classes of a metric; empty if there is none.
    [[nodiscard]] HistogramSnapshot total(const std::string& name) const;

    friend bool operator==(const Snapshot&, const Snapshot&) = default;
};

/// The snapshot in the text format of Prometheus. Histograms are given as cumulative buckets, four per decade.
[[nodiscard]] std::string prometheusText(const Snapshot& snapshot);

/// Owns the series of a process. References stay valid as long as the registry. Safe to call from many threads.
class Registry {
public:
    /// Label sets of one metric; further tenants share the series of the tenant `other`.
    static constexpr std::size_t defaultMaxLabelSets = 256;

    explicit Registry(std::size_t maxLabelSets = defaultMaxLabelSets);

    [[nodiscard]] Counter& counter(std::string_view name, const Labels& labels = {});
    [[nodiscard]] Gauge& gauge(std::string_view name, const Labels& labels = {});
    [[nodiscard]] LatencyHistogram& histogram(std::string_view name, const Labels& labels = {});
    [[nodiscard]] Snapshot snapshot() const;

private:
    template <typename Metric>
    using Family = std::map<Labels, std::unique_ptr<Metric>>;
    template <typename Metric>
    using Families = std::map<std::string, Family<Metric>, std::less<>>;

    struct Shard {
        mutable std::mutex mutex;
        Families<Counter> counters;
        Families<Gauge> gauges;
        Families<LatencyHistogram> histograms;
    };

    static constexpr std::size_t shardCount = 16;

    [[nodiscard]] Shard& shardOf(std::string_view name) noexcept;
    template <typename Metric>
    [[nodiscard]] Metric& find(Families<Metric>& families, std::string_view name, const Labels& labels) const;

    std::size_t m_maxLabelSets;
    std::array<Shard, shardCount> m_shards;
};

}
