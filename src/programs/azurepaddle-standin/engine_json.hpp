#pragma once

#include "engine_core.hpp"
#include "server.hpp"

namespace azurepaddle::standin {

/// Reads the body of a completion. Throws nlohmann::json::exception if it is malformed. An id that neither header nor
/// body gives is drawn at random.
[[nodiscard]] EngineRequest engineRequest(const Json& body, const std::string& headerId, bool isChat);

/// Status and reason of a refused request.
[[nodiscard]] std::pair<int, std::string> describe(SubmitError error);

/// Server-sent events for the tokens from `sent` on, one for each run of one weight version.
[[nodiscard]] std::string tokenEvents(const Sequence& sequence, const Progress& progress, std::uint64_t sent);

/// The last events of a stream: finish reason with all spans, then [DONE].
[[nodiscard]] std::string endEvent(const Sequence& sequence, const Progress& progress);

/// The answer to a request that is not streamed.
[[nodiscard]] Json wholeAnswer(const Sequence& sequence, const Progress& progress, const std::string& service, bool isChat);

/// State of a request for GET /requests/{id}.
[[nodiscard]] Json sequenceState(const Sequence& sequence, const Progress& progress);

/// What announcements and GET /state have in common.
[[nodiscard]] Json describeEngine(const EngineOptions& options, const EngineWeights& weights, const EngineLoad& load);

}
