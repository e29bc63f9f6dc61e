#pragma once

#include "azurepaddle/batch/types.hpp"
#include "azurepaddle/codec/codec.hpp"
#include "azurepaddle/core/address.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace azurepaddle::registry {

enum class EndpointState : std::uint8_t {
    Ready,
    Draining, ///< Serves what it has and gets no new work.
    Gone, ///< Left for good. Kept for a while, so that late heartbeats of it are recognised.
};

/// What is agreed about one endpoint. An endpoint that starts again under its id has a later start time.
struct EndpointRecord {
    EndpointId id;
    std::uint64_t startedMs = 0; ///< Start of this incarnation, in Unix milliseconds by its own clock.
    ServiceName service;
    std::string ip;
    std::uint16_t port = 0;
    DataCentreName dataCentre;
    std::uint32_t slots = 1;
    EndpointState state = EndpointState::Ready;
    std::map<std::string, WeightVersion> versions; ///< By model, as of the last agreed change.

    [[nodiscard]] InstanceAddress address() const { return { ip, port }; }
    [[nodiscard]] WeightVersion versionOf(const batch::ModelName& model) const
    {
        const auto found = versions.find(model.value());
        return found == versions.end() ? 0 : found->second;
    }

    friend bool operator==(const EndpointRecord&, const EndpointRecord&) = default;
    MSGPACK_DEFINE(id, startedMs, service, ip, port, dataCentre, slots, state, versions)
};

/// What a heartbeat says that is not agreed on.
struct HeartbeatStatus {
    EndpointId id;
    std::uint64_t startedMs = 0;
    std::uint64_t sequence = 0;
    std::map<std::string, WeightVersion> versions; ///< By model.

    friend bool operator==(const HeartbeatStatus&, const HeartbeatStatus&) = default;
    MSGPACK_DEFINE(id, startedMs, sequence, versions)
};

/// One heartbeat of an endpoint.
struct EndpointHeartbeat {
    EndpointRecord record;
    std::uint64_t sequence = 0; ///< Rises with each heartbeat of an incarnation.

    [[nodiscard]] HeartbeatStatus status() const { return { record.id, record.startedMs, sequence, record.versions }; }

    friend bool operator==(const EndpointHeartbeat&, const EndpointHeartbeat&) = default;
    MSGPACK_DEFINE(record, sequence)
};

/// An endpoint says that it leaves.
struct EndpointIncarnation {
    EndpointId id;
    std::uint64_t startedMs = 0; ///< 0 if it did not say.

    friend bool operator==(const EndpointIncarnation&, const EndpointIncarnation&) = default;
    MSGPACK_DEFINE(id, startedMs)
};

}

MSGPACK_ADD_ENUM(azurepaddle::registry::EndpointState)
