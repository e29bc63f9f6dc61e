#pragma once

#include "azurepaddle/pipeline/control_port.hpp"
#include "azurepaddle/pipeline/request.hpp"
#include "azurepaddle/routing/suspect_tracker.hpp"

#include <functional>
#include <optional>

namespace azurepaddle::pipeline {

/// Keeps a request that crashes endpoints from crashing more than two over all instances. Suspicions and trials are in
/// the log; the tracker holds what this instance knows of them.
class SuspectRequestGuard {
public:
    /// Tells the other instances of a new suspect.
    using Announce = std::function<void(const routing::Fingerprint&)>;

    SuspectRequestGuard(ControlPort control, routing::SuspectTracker& tracker, Announce announce)
        : m_control(std::move(control))
        , m_tracker(tracker)
        , m_announce(std::move(announce))
    {
    }

    [[nodiscard]] static routing::Fingerprint fingerprintOf(const WorkItem& item);

    /// The epoch of a trial on this endpoint if the request is a suspect, 0 if it is none. Nothing while another trial of
    /// the request runs, or one on the endpoint. Refused if the request is blocked.
    [[nodiscard]] PipelineResult<std::optional<control::Epoch>> begin(
        const WorkItem& item, const routing::Fingerprint& fingerprint, const EndpointId& endpoint) const;

    /// Ends a trial. Does nothing for epoch 0.
    void finish(const routing::Fingerprint& fingerprint, control::Epoch epoch, control::TrialResult result, const EndpointId& endpoint) const;

    /// Records that an endpoint died while it ran the request. Refused if that blocks the request. Until the record is
    /// made the request must not be sent again.
    [[nodiscard]] PipelineResult<void> report(
        const WorkItem& item, const routing::Fingerprint& fingerprint, control::Epoch trial, const control::CrashEvent& crash) const;

private:
    ControlPort m_control;
    routing::SuspectTracker& m_tracker;
    Announce m_announce;
};

}
