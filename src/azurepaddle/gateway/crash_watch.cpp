#include "azurepaddle/gateway/crash_watch.hpp"

#include "azurepaddle/core/digest.hpp"

#include <fmt/format.h>

namespace azurepaddle::gateway {

namespace {

    // 128 bits; requests do not share them by chance.
    constexpr std::size_t fingerprintDigits = 32;
    // Requests reported with one crash. With as many, each one is hardly suspected.
    constexpr std::size_t maxRequests = 64;

    std::string_view nameOf(http1::ProbeOutcome outcome)
    {
        switch (outcome) {
        case http1::ProbeOutcome::Accepted:
            return "alive";
        case http1::ProbeOutcome::Refused:
            return "crashed";
        case http1::ProbeOutcome::NoAnswer:
            break;
        }
        return "unknown";
    }

}

registry::RequestFingerprint fingerprintOf(const http1::Request& request)
{
    std::string text;
    // With their lengths, so that bytes cannot move from one part to the next.
    for (const std::string_view part : { std::string_view(request.method), request.fields.find("Host"), std::string_view(request.target), request.fields.find("Authorization") })
        text += fmt::format("{}:{}", part.size(), part);
    return registry::RequestFingerprint(sha256Hex(text + request.body).substr(0, fingerprintDigits));
}

CrashWatch::CrashWatch(Probe probe, metrics::Registry& metrics)
    : m_probe(std::move(probe))
    , m_metrics(metrics)
{
}

void CrashWatch::noteLost(const registry::EndpointRecord& endpoint, const std::optional<registry::RequestFingerprint>& request)
{
    m_metrics.counter("gateway_lost_requests_total").add();
    const Incarnation incarnation { endpoint.id, endpoint.startedMs };
    const auto [known, isNew] = m_probed.try_emplace(incarnation);
    if (request && known->second.size() < maxRequests)
        known->second.insert(*request);
    if (isNew)
        m_probe(endpoint.address(), [this, incarnation](http1::ProbeOutcome outcome) { onProbed(incarnation, outcome); });
}

void CrashWatch::onProbed(const Incarnation& incarnation, http1::ProbeOutcome outcome)
{
    const auto node = m_probed.extract(incarnation);
    const auto& requests = node.mapped();
    m_log.info("endpoint={} started={} suspects={} first-suspect={} outcome={}", incarnation.first, incarnation.second, requests.size(), requests.empty() ? registry::RequestFingerprint() : *requests.begin(), nameOf(outcome));
    if (outcome != http1::ProbeOutcome::Refused)
        return;
    m_metrics.counter("gateway_endpoint_crashes_total").add();
    if (m_onCrash)
        m_onCrash({ incarnation.first, incarnation.second, { requests.begin(), requests.end() } });
}

}
