#pragma once

#include "azurepaddle/codec/codec.hpp"
#include "azurepaddle/http1/message.hpp"
#include "azurepaddle/registry/streams.hpp"

#include <string>
#include <utility>
#include <vector>

namespace azurepaddle::gateway {

/// Requests between entry instances. An entry that is cut off from the endpoints has another one forward its requests.

using RelayFields = std::vector<std::pair<std::string, std::string>>;

struct RelayReply {
    bool isAccepted = false; ///< If false, nothing was sent to an endpoint, and another entry may be asked.
    unsigned status = 0;
    std::string reason;
    RelayFields fields;
    std::string body;
    EndpointId endpoint; ///< The endpoint whose answer ended the request; empty otherwise.
    registry::StreamOrigin origin;
    MSGPACK_DEFINE(isAccepted, status, reason, fields, body, endpoint, origin)
};

/// Forwards a caller's request. The receiver never hands it on to a third entry.
struct RelayRequest {
    static constexpr std::string_view method = "relay";
    using Reply = RelayReply;
    std::string id; ///< Unique over all entries and requests; names the request in a cancellation.
    std::string httpMethod;
    std::string target;
    RelayFields fields;
    std::string body;
    std::uint64_t remainingMs = 0; ///< Time until the deadline.
    unsigned runs = 0; ///< Endpoints that may have run the request before.
    unsigned refusals = 0; ///< Endpoints that refused the request before.
    bool isContinuation = false; ///< Only the software of `origin` may run the request.
    registry::StreamOrigin origin;
    std::uint64_t directoryRevision = 0; ///< The receiver declines a continuation if its endpoints are older; 0 from earlier releases.
    WorkspaceName workspace {}; ///< On whose behalf it runs. The sender has checked the caller's key and removed it.
    MSGPACK_DEFINE(id, httpMethod, target, fields, body, remainingMs, runs, refusals, isContinuation, origin, directoryRevision, workspace)
};

struct RelayCancelReply {
    bool isKnown = false;
    MSGPACK_DEFINE(isKnown)
};

/// Cancels a request whose caller has left.
struct RelayCancelRequest {
    static constexpr std::string_view method = "relay-cancel";
    using Reply = RelayCancelReply;
    std::string id;
    MSGPACK_DEFINE(id)
};

[[nodiscard]] RelayFields toRelayFields(const http1::Fields& fields);
[[nodiscard]] http1::Fields fromRelayFields(const RelayFields& fields);

}
