#include "azurepaddle/gateway/crash_watch.hpp"

#include "azurepaddle/core/digest.hpp"

#include <fmt/format.h>

namespace azurepaddle::gateway {

namespace {

    // 128 bits, so that accidental collisions are negligible.
    constexpr std::size_t fingerprintDigits = 32;
    // Most requests reported with one crash. With this many requests in progress, the crash is hardly evidence against
    // any single one.
    constexpr std::size_t maxReportedRequests = 64;

    std::string_view outcomeName(http1::ProbeOutcome outcome)
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

registry::RequestFingerprint fingerprintOf(const http1::Request& request, const WorkspaceName& workspace)
{
    std::string text;
    // Each part is prefixed by its length, so that different parts with equal concatenations give different digests.
    for (const std::string_view part : { std::string_view(request.method), request.fields.find("Host"), std::string_view(request.target), request.fields.find("Authorization") })
        text += fmt::format("{}:{}", part.size(), part);
    // Left out without a workspace, so that earlier releases compute the same fingerprints.
    if (!workspace.empty())
        text += fmt::format("workspace {}:{}", workspace.value().size(), workspace);
    return registry::RequestFingerprint(sha256Hex(text, request.body).substr(0, fingerprintDigits));
}

CrashWatch::CrashWatch(Probe probe, metrics::Registry& metrics)
    : m_probe(std::move(probe))
    , m_metrics(metrics)
{
}

void CrashWatch::recordLostRequest(const registry::EndpointRecord& endpoint, const std::optional<registry::RequestFingerprint>& request)
{
    m_metrics.counter("gateway_lost_requests_total").add();
    const Incarnation incarnation { endpoint.id, endpoint.startedMs };
    const auto [lost, isNew] = m_lostRequests.try_emplace(incarnation);
    if (request && lost->second.size() < maxReportedRequests)
        lost->second.insert(*request);
    if (isNew)
        m_probe(endpoint.address(), [this, incarnation](http1::ProbeOutcome outcome) { onProbed(incarnation, outcome); });
}

void CrashWatch::onProbed(const Incarnation& incarnation, http1::ProbeOutcome outcome)
{
    const auto extracted = m_lostRequests.extract(incarnation);
    const auto& requests = extracted.mapped();
    m_log.info("endpoint={} started={} suspects={} first-suspect={} outcome={}", incarnation.first, incarnation.second, requests.size(), requests.empty() ? registry::RequestFingerprint() : *requests.begin(), outcomeName(outcome));
    if (outcome != http1::ProbeOutcome::Refused)
        return;
    m_metrics.counter("gateway_endpoint_crashes_total").add();
    if (m_onCrash)
        m_onCrash({ incarnation.first, incarnation.second, { requests.begin(), requests.end() } });
}

}
