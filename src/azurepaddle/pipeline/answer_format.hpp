#pragma once

#include "azurepaddle/pipeline/event.hpp"
#include "azurepaddle/pipeline/request.hpp"

#include <string>
#include <vector>

namespace azurepaddle::pipeline {

/// The weight versions of an answer in order of first use, each once.
[[nodiscard]] std::vector<WeightVersion> versionsOf(const Answer& answer);

/// A whole answer in the form of the OpenAI completion or chat completion, with the weight versions added.
[[nodiscard]] std::string wholeAnswerBody(const WorkItem& item, const Answer& answer);

/// One piece of a streamed answer as a server-sent event.
[[nodiscard]] std::string pieceEvent(const WorkItem& item, const EngineEvent& event);

/// The end of a streamed answer: finish reason, weight versions, usage, and the end mark.
[[nodiscard]] std::string endEvents(const WorkItem& item, const Answer& answer);

/// A streamed answer that cannot be continued: the problem as an event named `error`, without an end mark.
[[nodiscard]] std::string errorEvent(const WorkItem& item, const PipelineError& error);

}
