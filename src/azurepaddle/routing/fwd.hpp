#pragma once

#include <cstdint>

namespace azurepaddle::routing {

class LoadEstimator;
class ProgressDeadlines;
class SlowDetector;
class SuspectTracker;
struct EndpointView;
struct RequestProfile;
struct RouterSettings;
template <typename ClockType, typename RandomType>
class Router;

/// Identifies one attempt to run a request on one endpoint.
using AttemptId = std::uint64_t;

}
