#include "azurepaddle/metrics/registry.hpp"

#include <fmt/format.h>
#include <functional>

namespace azurepaddle::metrics {

namespace {

    const TenantName otherTenant("other");
    constexpr std::size_t binsPerBucket = 6;

    std::string escape(std::string_view value)
    {
        std::string text;
        for (const char c : value) {
            if (c == '\\' || c == '"')
                text.push_back('\\');
            if (c == '\n')
                text += "\\n";
            else
                text.push_back(c);
        }
        return text;
    }

    /// The labels between braces, with a further label if it is not empty.
    std::string labelText(const Labels& labels, std::string_view further = {})
    {
        std::string text;
        const auto append = [&text](std::string_view label) {
            text += text.empty() ? "" : ",";
            text += label;
        };
        if (!labels.tenant.empty())
            append(fmt::format("tenant=\"{}\"", escape(labels.tenant.value())));
        if (labels.workClass)
            append(fmt::format("class=\"{}\"", workClassName(*labels.workClass)));
        if (!further.empty())
            append(further);
        return text.empty() ? text : "{" + text + "}";
    }

    void appendHistogram(std::string& text, const std::string& name, const Labels& labels, const HistogramSnapshot& histogram)
    {
        std::uint64_t cumulative = 0;
        for (std::size_t i = 0; i + 1 < histogram.counts.size(); ++i) {
            cumulative += histogram.counts[i];
            if (i % binsPerBucket == 0)
                text += fmt::format("{}_bucket{} {}\n", name, labelText(labels, fmt::format("le=\"{:.6g}\"", upperBoundSeconds(i))), cumulative);
        }
        text += fmt::format("{}_bucket{} {}\n", name, labelText(labels, "le=\"+Inf\""), histogram.count);
        text += fmt::format("{}_sum{} {}\n", name, labelText(labels), std::chrono::duration<double>(histogram.sum).count());
        text += fmt::format("{}_count{} {}\n", name, labelText(labels), histogram.count);
    }

    template <typename Value>
    void addAll(std::map<std::string, std::map<Labels, Value>>& into, const std::map<std::string, std::map<Labels, Value>>& from)
    {
        for (const auto& [name, family] : from) {
            for (const auto& [labels, value] : family) {
                if constexpr (std::is_same_v<Value, HistogramSnapshot>)
                    into[name][labels].merge(value);
                else
                    into[name][labels] += value;
            }
        }
    }

    template <typename Value>
    void appendFamilies(std::string& text, std::string_view type, const std::map<std::string, std::map<Labels, Value>>& families)
    {
        for (const auto& [name, family] : families) {
            text += fmt::format("# TYPE {} {}\n", name, type);
            for (const auto& [labels, value] : family) {
                if constexpr (std::is_same_v<Value, HistogramSnapshot>)
                    appendHistogram(text, name, labels, value);
                else
                    text += fmt::format("{}{} {}\n", name, labelText(labels), value);
            }
        }
    }

}

void Snapshot::merge(const Snapshot& other)
{
    addAll(counters, other.counters);
    addAll(gauges, other.gauges);
    addAll(histograms, other.histograms);
}

HistogramSnapshot Snapshot::total(const std::string& name) const
{
    HistogramSnapshot result;
    if (const auto family = histograms.find(name); family != histograms.end()) {
        for (const auto& [labels, histogram] : family->second)
            result.merge(histogram);
    }
    return result;
}

std::string prometheusText(const Snapshot& snapshot)
{
    std::string text;
    appendFamilies(text, "counter", snapshot.counters);
    appendFamilies(text, "gauge", snapshot.gauges);
    appendFamilies(text, "histogram", snapshot.histograms);
    return text;
}

Registry::Registry(std::size_t maxLabelSets)
    : m_maxLabelSets(maxLabelSets)
{
}

Registry::Shard& Registry::shardOf(std::string_view name) noexcept
{
    return m_shards[std::hash<std::string_view> {}(name) % shardCount];
}

template <typename Metric>
Metric& Registry::find(Families<Metric>& families, std::string_view name, const Labels& labels) const
{
    auto family = families.find(name);
    if (family == families.end())
        family = families.emplace(std::string(name), Family<Metric> {}).first;
    auto series = family->second.find(labels);
    if (series != family->second.end())
        return *series->second;
    Labels bounded = labels;
    if (family->second.size() >= m_maxLabelSets)
        bounded.tenant = otherTenant;
    auto& metric = family->second[bounded];
    if (!metric)
        metric = std::make_unique<Metric>();
    return *metric;
}

Counter& Registry::counter(std::string_view name, const Labels& labels)
{
    Shard& shard = shardOf(name);
    const std::lock_guard lock(shard.mutex);
    return find(shard.counters, name, labels);
}

Gauge& Registry::gauge(std::string_view name, const Labels& labels)
{
    Shard& shard = shardOf(name);
    const std::lock_guard lock(shard.mutex);
    return find(shard.gauges, name, labels);
}

LatencyHistogram& Registry::histogram(std::string_view name, const Labels& labels)
{
    Shard& shard = shardOf(name);
    const std::lock_guard lock(shard.mutex);
    return find(shard.histograms, name, labels);
}

Snapshot Registry::snapshot() const
{
    Snapshot result;
    for (const Shard& shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto& [name, family] : shard.counters)
            for (const auto& [labels, metric] : family)
                result.counters[name][labels] = metric->value();
        for (const auto& [name, family] : shard.gauges)
            for (const auto& [labels, metric] : family)
                result.gauges[name][labels] = metric->value();
        for (const auto& [name, family] : shard.histograms)
            for (const auto& [labels, metric] : family)
                result.histograms[name][labels] = metric->snapshot();
    }
    return result;
}

}
