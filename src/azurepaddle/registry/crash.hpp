#pragma once

#include "azurepaddle/codec/codec.hpp"
#include "azurepaddle/core/ident.hpp"

#include <cstdint>
#include <vector>

namespace azurepaddle::registry {

/// What a request of a caller has in common with its repetitions, which have identifiers of their own.
using RequestFingerprint = Identifier<struct RequestFingerprintTag>;

/// An endpoint incarnation that crashed, and the requests of callers that one instance had in progress there.
struct EndpointCrash {
    EndpointId endpoint;
    std::uint64_t startedMs = 0; ///< Of the incarnation.
    std::vector<RequestFingerprint> requests; ///< Those that may have caused it, in order, each once.

    friend bool operator==(const EndpointCrash&, const EndpointCrash&) = default;
    MSGPACK_DEFINE(endpoint, startedMs, requests)
};

}
