#pragma once

#include "azurepaddle/pipeline/event.hpp"
#include "azurepaddle/pipeline/request.hpp"

#include <string>
#include <vector>

namespace azurepaddle::pipeline {

/// Returns the distinct weight versions of an answer in order of first use.
[[nodiscard]] std::vector<WeightVersion> versionsOf(const Answer& answer);

/// Formats a complete answer as an OpenAI completion or chat completion, with the weight versions added.
[[nodiscard]] std::string completionBody(const WorkItem& item, const Answer& answer);

/// Formats one chunk of a streamed answer as a server-sent event.
[[nodiscard]] std::string chunkEvent(const WorkItem& item, const EngineEvent& event);

/// Formats the end of a streamed answer: finish reason, weight versions, usage, and the end marker.
[[nodiscard]] std::string finalEvents(const WorkItem& item, const Answer& answer);

/// Formats the error that ends an incomplete stream as an event named `error`, without an end marker.
[[nodiscard]] std::string errorEvent(const WorkItem& item, const PipelineError& error);

}
