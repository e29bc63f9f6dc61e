#include "azurepaddle/metrics/histogram.hpp"

#include <algorithm>
#include <atomic>
#include <boost/histogram.hpp>
#include <cmath>
#include <fmt/format.h>
#include <limits>

namespace azurepaddle::metrics {

namespace {

    constexpr double lowestSeconds = 1e-5;
    constexpr double highestSeconds = 1e4;
    constexpr std::size_t binsPerDecade = 24; // A bin is 10 % wide, which is less than the ratios between compared latencies.
    constexpr std::size_t decades = 9;
    constexpr std::size_t binCount = binsPerDecade * decades;
    constexpr std::size_t entryCount = binCount + 2;

    double lowerBoundSeconds(std::size_t index) noexcept
    {
        return index == 0 ? 0 : upperBoundSeconds(index - 1);
    }

    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Storage = boost::histogram::dense_storage<boost::histogram::accumulators::thread_safe<std::uint64_t>>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>, Storage>;

    double inSeconds(Duration value) noexcept
    {
        return std::chrono::duration<double>(value).count();
    }

    void raise(std::atomic<std::int64_t>& maximum, std::int64_t value) noexcept
    {
        std::int64_t seen = maximum.load(std::memory_order_relaxed);
        while (seen < value && !maximum.compare_exchange_weak(seen, value, std::memory_order_relaxed)) { }
    }

}

double upperBoundSeconds(std::size_t index) noexcept
{
    if (index > binCount)
        return std::numeric_limits<double>::infinity();
    return lowestSeconds * std::pow(10.0, static_cast<double>(index) / static_cast<double>(binsPerDecade));
}

void HistogramSnapshot::merge(const HistogramSnapshot& other)
{
    counts.resize(std::max(counts.size(), other.counts.size()));
    for (std::size_t i = 0; i < other.counts.size(); ++i)
        counts[i] += other.counts[i];
    count += other.count;
    sum += other.sum;
    max = std::max(max, other.max);
}

double HistogramSnapshot::quantile(double fraction) const
{
    const double rank = std::clamp(fraction, 0.0, 1.0) * static_cast<double>(count);
    double below = 0;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        const auto inBin = static_cast<double>(counts[i]);
        if (inBin > 0 && below + inBin >= rank) {
            const double upper = std::min(upperBoundSeconds(i), inSeconds(max));
            const double lower = std::min(lowerBoundSeconds(i), upper);
            return lower + (upper - lower) * std::clamp((rank - below) / inBin, 0.0, 1.0);
        }
        below += inBin;
    }
    return inSeconds(max);
}

std::vector<Bar> HistogramSnapshot::bars(std::size_t maxBars) const
{
    const auto isFilled = [](std::uint64_t value) { return value > 0; };
    const auto first = std::find_if(counts.begin(), counts.end(), isFilled);
    if (first == counts.end() || maxBars == 0)
        return {};
    const auto last = std::find_if(counts.rbegin(), counts.rend(), isFilled).base();
    const auto begin = static_cast<std::size_t>(first - counts.begin());
    const auto end = static_cast<std::size_t>(last - counts.begin());
    const std::size_t step = (end - begin + maxBars - 1) / maxBars;
    std::vector<Bar> result;
    for (std::size_t i = begin; i < end; i += step) {
        const std::size_t stop = std::min(i + step, end);
        Bar bar { lowerBoundSeconds(i), std::min(upperBoundSeconds(stop - 1), inSeconds(max)), 0 };
        for (std::size_t j = i; j < stop; ++j)
            bar.count += counts[j];
        result.push_back(bar);
    }
    return result;
}

std::string drawBars(const std::vector<Bar>& bars, std::size_t width)
{
    std::uint64_t highest = 1;
    for (const Bar& bar : bars)
        highest = std::max(highest, bar.count);
    std::string text;
    for (const Bar& bar : bars) {
        const auto length = static_cast<std::size_t>(bar.count * width / highest);
        text += fmt::format("{:>10.4f} s {:<{}} {}\n", bar.upperSeconds, std::string(length, '#'), width, bar.count);
    }
    return text;
}

struct LatencyHistogram::Implementation {
    Histogram histogram { std::make_tuple(Axis(binCount, lowestSeconds, highestSeconds)) };
    std::atomic<std::int64_t> sum { 0 };
    std::atomic<std::int64_t> maximum { 0 };
};

LatencyHistogram::LatencyHistogram()
    : m_implementation(std::make_unique<Implementation>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(Duration value)
{
    m_implementation->histogram(inSeconds(value));
    m_implementation->sum.fetch_add(value.count(), std::memory_order_relaxed);
    raise(m_implementation->maximum, value.count());
}

HistogramSnapshot LatencyHistogram::snapshot() const
{
    HistogramSnapshot result;
    result.counts.reserve(entryCount);
    for (const auto& entry : boost::histogram::indexed(m_implementation->histogram, boost::histogram::coverage::all)) {
        const auto value = static_cast<std::uint64_t>(*entry);
        result.counts.push_back(value);
        result.count += value;
    }
    result.sum = Duration(m_implementation->sum.load(std::memory_order_relaxed));
    result.max = Duration(m_implementation->maximum.load(std::memory_order_relaxed));
    return result;
}

}
