#pragma once

#include "azurepaddle/pipeline/control_port.hpp"
#include "azurepaddle/pipeline/request.hpp"
#include "azurepaddle/routing/suspect_tracker.hpp"

#include <functional>
#include <optional>

namespace azurepaddle::pipeline {

/// Prevents a request that crashes endpoints from crashing more than two of them, over all instances. Suspect requests
/// and trials are recorded in the replicated log; the tracker holds this instance's copy of the suspects.
class SuspectRequestGuard {
public:
    /// Announces a new suspect to the other instances.
    using OnNewSuspect = std::function<void(const routing::Fingerprint&)>;

    SuspectRequestGuard(ControlPort control, routing::SuspectTracker& tracker, OnNewSuspect onNewSuspect)
        : m_control(std::move(control))
        , m_tracker(tracker)
        , m_onNewSuspect(std::move(onNewSuspect))
    {
    }

    [[nodiscard]] static routing::Fingerprint fingerprintOf(const WorkItem& item);

    /// Starts a trial on this endpoint if the request is a suspect and returns its epoch; returns 0 if the request is
    /// not a suspect. Returns no epoch while another trial of the request, or on the endpoint, is running. Fails if the
    /// request is blocked.
    [[nodiscard]] PipelineResult<std::optional<control::Epoch>> beginTrial(
        const WorkItem& item, const routing::Fingerprint& fingerprint, const EndpointId& endpoint) const;

    /// Ends a trial. Has no effect for epoch 0.
    void finishTrial(const routing::Fingerprint& fingerprint, control::Epoch epoch, control::TrialResult result, const EndpointId& endpoint) const;

    /// Records that an endpoint crashed while it ran the request. Fails if the request is blocked as a result. The
    /// request must not be sent again before the crash is recorded.
    [[nodiscard]] PipelineResult<void> reportCrash(
        const WorkItem& item, const routing::Fingerprint& fingerprint, control::Epoch trial, const control::CrashEvent& crash) const;

private:
    ControlPort m_control;
    routing::SuspectTracker& m_tracker;
    OnNewSuspect m_onNewSuspect;
};

}
