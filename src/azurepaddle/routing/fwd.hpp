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

/// One sending of a request to one endpoint.
using AttemptId = std::uint64_t;

}
