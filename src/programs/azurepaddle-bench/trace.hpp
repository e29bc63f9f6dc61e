#pragma once

#include "world.hpp"

#include <istream>
#include <string>
#include <vector>

namespace azurepaddle::bench {

/// One recorded request with the outcome that it must have.
struct TraceRequest {
    double arrival = 0; ///< Seconds from the start.
    std::string tenant;
    WorkClass workClass = WorkClass::Short;
    double promptTokens = 0;
    std::uint32_t outputTokens = 1;
    std::size_t instance = 0;
    std::size_t service = 0;
    double timeout = 0; ///< Seconds; 0 for none.
    bool isIdempotent = true;
    std::string crashing; ///< Fingerprint of a request that crashes its endpoint; empty otherwise.
    std::size_t count = 1; ///< Equal requests.
    double interval = 0; ///< Seconds between them.
    JobState outcome = JobState::Finished;
    double within = 0; ///< Seconds until the outcome at most; 0 for any.
    int line = 0;
};

struct TraceFault {
    double time = 0;
    std::string kind; ///< slow, crash, silence.
    std::size_t engine = 0;
    double value = 0; ///< Factor, seconds down, or instance.
    double seconds = 0; ///< Duration of a slowdown.
};

/// Recorded requests and faults of one deployment.
struct Trace {
    std::string deployment;
    std::uint64_t seed = 1;
    double seconds = 60;
    std::vector<TraceRequest> requests;
    std::vector<TraceFault> faults;
};

/// Reads a trace. Throws std::invalid_argument that names the line.
[[nodiscard]] Trace readTrace(std::istream& input);

}
