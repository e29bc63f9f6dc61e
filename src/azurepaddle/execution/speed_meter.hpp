#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/ident.hpp"

#include <map>

namespace azurepaddle::execution {

/// How fast endpoints generate, by the time between two events of one item. Compares each endpoint with the median, so
/// that a slowdown of all of them singles out none.
class SpeedMeter {
public:
    /// Notes the time between two events of an item at an endpoint.
    void note(const EndpointId& id, Duration betweenEvents, TimePoint now);

    /// Time per event against the median; 1 for endpoints without recent observations.
    [[nodiscard]] double slowness(const EndpointId& id, TimePoint now) const;
    /// The median time between two events.
    [[nodiscard]] Duration median(TimePoint now) const;

private:
    struct Entry {
        double averageMs = 0;
        TimePoint at;
    };

    std::map<EndpointId, Entry> m_entries;
};

}
