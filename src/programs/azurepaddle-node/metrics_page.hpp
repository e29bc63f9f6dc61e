#pragma once

#include "azurepaddle/http1/server.hpp"
#include "azurepaddle/metrics/registry.hpp"

namespace azurepaddle::node {

/// Responds to GET /metrics with all counters and histograms of the process.
inline void serveMetrics(const http1::ExchangePointer& exchange, const metrics::Registry& registry)
{
    if (http1::pathOf(exchange->request().target) != "/metrics")
        return exchange->respond({ 404, {}, {}, "no such page\n" });
    exchange->respond({ 200, {}, { { "Content-Type", "text/plain; version=0.0.4" } }, metrics::prometheusText(registry.snapshot()) });
}

}
