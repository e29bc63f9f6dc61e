#pragma once

#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/ident.hpp"

namespace azurepaddle::execution {

/// An item of an open job whose text is not complete.
struct PendingItem {
    ServiceName service;
    EndpointId endpoint; ///< Where it runs; empty while it is waiting.
    Duration remaining {}; ///< Time to generate the rest of its text at the median endpoint.
    Duration untilDue {}; ///< Below 0 if it is late.

    friend bool operator==(const PendingItem&, const PendingItem&) = default;
};

}
