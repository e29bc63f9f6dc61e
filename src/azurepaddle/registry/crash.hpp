#pragma once

#include "azurepaddle/codec/codec.hpp"
#include "azurepaddle/core/ident.hpp"

#include <cstdint>
#include <vector>

namespace azurepaddle::registry {

/// Identifies the content of a caller's request. Retries share the fingerprint, although each has its own request id.
using RequestFingerprint = Identifier<struct RequestFingerprintTag>;

/// A crash of an endpoint incarnation, with the callers' requests that one instance had in progress on it.
struct EndpointCrash {
    EndpointId endpoint;
    std::uint64_t startedMs = 0; ///< Start time that identifies the incarnation.
    std::vector<RequestFingerprint> requests; ///< Possible causes, sorted and without duplicates.

    friend bool operator==(const EndpointCrash&, const EndpointCrash&) = default;
    MSGPACK_DEFINE(endpoint, startedMs, requests)
};

}
