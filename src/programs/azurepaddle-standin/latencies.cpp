#include "latencies.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace azurepaddle::standin {

namespace {

    // Four buckets for each doubling keep the error of a bucket below 19 %.
    constexpr double bucketsPerDoubling = 4;

    double percentile(const std::vector<double>& sorted, double part)
    {
        const auto rank = static_cast<std::size_t>(std::ceil(part * static_cast<double>(sorted.size())));
        return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
    }

    nlohmann::json histogram(const std::vector<double>& sorted)
    {
        std::map<int, std::uint64_t> buckets;
        for (const double time : sorted)
            ++buckets[static_cast<int>(std::ceil(std::log2(std::max(time, 0.1)) * bucketsPerDoubling))];
        nlohmann::json list = nlohmann::json::array();
        for (const auto& [bucket, count] : buckets)
            list.push_back({ std::exp2(bucket / bucketsPerDoubling), count });
        return list;
    }

    nlohmann::json summarize(std::vector<double> times)
    {
        std::sort(times.begin(), times.end());
        const double sum = std::accumulate(times.begin(), times.end(), 0.0);
        return { { "count", times.size() }, { "mean", sum / static_cast<double>(times.size()) }, { "p50", percentile(times, 0.5) },
            { "p90", percentile(times, 0.9) }, { "p99", percentile(times, 0.99) }, { "p999", percentile(times, 0.999) },
            { "max", times.back() }, { "histogram", histogram(times) } };
    }

}

void Latencies::add(const std::string& name, double milliseconds)
{
    const std::scoped_lock lock(m_mutex);
    m_times[name].push_back(milliseconds);
}

nlohmann::json Latencies::toJson() const
{
    const std::scoped_lock lock(m_mutex);
    nlohmann::json result = nlohmann::json::object();
    for (const auto& [name, times] : m_times)
        result[name] = summarize(times);
    return result;
}

}
