#pragma once

#include "azurepaddle/control/client.hpp"
#include "azurepaddle/pipeline/configuration_holder.hpp"
#include "azurepaddle/pipeline/error.hpp"
#include "azurepaddle/routing/suspect_tracker.hpp"

#include <functional>
#include <string>

namespace azurepaddle::pipeline {

/// The result of submitting a configuration.
struct SubmissionResult {
    std::string result; ///< accepted, already-accepted, superseded, conflict, stale or invalid.
    std::uint64_t number = 0; ///< Number of the configuration in force after the submission.
    std::string digest; ///< Digest of the text in force.
    config::Problems problems; ///< All problems found, if the result is invalid.

    friend bool operator==(const SubmissionResult&, const SubmissionResult&) = default;
};

/// Submits configurations to the log and installs the newest one on this instance.
class ConfigurationService {
public:
    /// Called after a new configuration has been installed.
    using OnInstalled = std::function<void(const config::Configuration&)>;

    ConfigurationService(control::ControlClient& control, ConfigurationHolder& holder, routing::SuspectTracker& suspects, OnInstalled onInstalled)
        : m_control(control)
        , m_holder(holder)
        , m_suspects(suspects)
        , m_onInstalled(std::move(onInstalled))
    {
    }

    /// Validates the text and submits it as a whole.
    [[nodiscard]] PipelineResult<SubmissionResult> submit(const std::string& text, TimePoint deadline);

    /// Reads the newest configuration from the log and installs it. Returns false if the log could not be read or the
    /// configuration could not be installed.
    bool refresh(TimePoint deadline);

private:
    [[nodiscard]] bool install(const control::ConfigurationUpdate& update);

    control::ControlClient& m_control;
    ConfigurationHolder& m_holder;
    routing::SuspectTracker& m_suspects;
    OnInstalled m_onInstalled;
    std::mutex m_mutex; ///< Serializes refreshes.
};

/// Converts an error of the log's client.
[[nodiscard]] PipelineError toPipelineError(const control::ClientError& error);

}
