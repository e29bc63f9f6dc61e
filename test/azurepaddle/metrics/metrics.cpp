#include "azurepaddle/metrics/registry.hpp"

#include <criterion/criterion.h>
#include <thread>
#include <vector>

using namespace azurepaddle;
using namespace azurepaddle::metrics;
using namespace std::chrono_literals;

// Guards against quantiles that leave the bin of the true value (bins are 10 % wide).
Test(LatencyHistogram, uniformValues_quantile_isWithinOneBin)
{
    LatencyHistogram histogram;
    for (int i = 1; i <= 1000; ++i)
        histogram.record(1ms * i);
    const HistogramSnapshot snapshot = histogram.snapshot();
    cr_assert(snapshot.count == 1000);
    cr_assert(std::abs(snapshot.quantile(0.5) - 0.5) < 0.05);
    cr_assert(std::abs(snapshot.quantile(0.99) - 0.99) < 0.1);
    cr_assert(snapshot.quantile(1) == 1.0);
    cr_assert(LatencyHistogram().snapshot().quantile(0.99) == 0);
}

// Guards against values outside the bins that are not counted.
Test(LatencyHistogram, valuesOutsideRange_recorded_areCounted)
{
    LatencyHistogram histogram;
    histogram.record(0ns);
    histogram.record(100h);
    const HistogramSnapshot snapshot = histogram.snapshot();
    cr_assert(snapshot.count == 2);
    cr_assert(snapshot.counts.front() == 1);
    cr_assert(snapshot.counts.back() == 1);
}

// Guards against instances whose merged figures differ from those of one instance with all values.
Test(Snapshot, twoInstances_merged_equalOne)
{
    Registry left;
    Registry right;
    Registry both;
    for (int i = 0; i < 100; ++i) {
        Registry& one = i % 2 == 0 ? left : right;
        const Labels labels { TenantName(i % 3 == 0 ? "a" : "b"), WorkClass::Short };
        for (Registry* registry : { &one, &both }) {
            registry->histogram("wait_seconds", labels).record(1ms * i);
            registry->counter("requests_total", labels).add();
        }
    }
    Snapshot merged = left.snapshot();
    merged.merge(right.snapshot());
    cr_assert(merged == both.snapshot());
    cr_assert(merged.total("wait_seconds").count == 100);
}

// Guards against memory use that grows with the number of tenant names that callers send.
Test(Registry, moreTenantsThanBound_counted_shareOneSeries)
{
    Registry registry(4);
    for (int i = 0; i < 100; ++i)
        registry.counter("requests_total", { TenantName(std::to_string(i)), {} }).add();
    const auto series = registry.snapshot().counters.at("requests_total");
    cr_assert(series.size() == 5);
    cr_assert(series.at({ TenantName("other"), {} }) == 96);
}

// Guards against lost counts when several threads record at once.
Test(Registry, severalThreads_record_loseNothing)
{
    Registry registry;
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&registry] {
            for (int j = 0; j < 1000; ++j)
                registry.histogram("wait_seconds").record(1ms);
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    cr_assert(registry.snapshot().total("wait_seconds").count == 4000);
}

// Guards against text that a scraper refuses: unescaped quotes, buckets that fall, a missing +Inf bucket.
Test(Registry, histogram_asPrometheusText_hasEscapedLabelsAndAllBuckets)
{
    Registry registry;
    registry.histogram("wait_seconds", { TenantName("a\"b"), WorkClass::Long }).record(2s);
    registry.counter("requests_total").add(3);
    const std::string text = prometheusText(registry.snapshot());
    cr_assert(text.find("# TYPE wait_seconds histogram\n") != std::string::npos);
    cr_assert(text.find("wait_seconds_bucket{tenant=\"a\\\"b\",class=\"long\",le=\"+Inf\"} 1\n") != std::string::npos);
    cr_assert(text.find("requests_total 3\n") != std::string::npos);
}

// Guards against bars that omit the lowest or highest values.
Test(LatencyHistogram, values_drawnAsBars_keepTotal)
{
    LatencyHistogram histogram;
    for (int i = 1; i <= 500; ++i)
        histogram.record(1ms * i);
    std::uint64_t total = 0;
    const std::vector<Bar> bars = histogram.snapshot().bars(8);
    for (const Bar& bar : bars)
        total += bar.count;
    cr_assert(bars.size() <= 8);
    cr_assert(total == 500);
    cr_assert(drawBars(bars, 40).find('#') != std::string::npos);
}
