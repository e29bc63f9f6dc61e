#pragma once

#include "azurepaddle/batch/types.hpp"
#include "azurepaddle/codec/codec.hpp"
#include "azurepaddle/core/address.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace azurepaddle::registry {

enum class EndpointState : std::uint8_t {
    Ready,
    Draining, ///< Completes its requests in progress and gets no new ones.
    Gone, ///< Ended. The record is kept for a while, so that late heartbeats are recognised.
};

/// The replicated record of one endpoint. An endpoint that restarts under its id has a later start time.
struct EndpointRecord {
    EndpointId id;
    std::uint64_t startedMs = 0; ///< Start of this incarnation, in Unix milliseconds by the endpoint's clock.
    ServiceName service;
    std::string ip;
    std::uint16_t port = 0;
    DataCentreName dataCentre;
    std::uint32_t slots = 1;
    EndpointState state = EndpointState::Ready;
    std::map<std::string, WeightVersion> versions; ///< By model, as of the last replicated change.
    SoftwareVersion software {}; ///< Empty in records from before it was recorded.
    bool isSpot = false; ///< Cheap, and withdrawn at short notice together with all others of its data centre.

    [[nodiscard]] InstanceAddress address() const { return { ip, port }; }
    [[nodiscard]] WeightVersion versionOf(const batch::ModelName& model) const
    {
        const auto found = versions.find(model.value());
        return found == versions.end() ? 0 : found->second;
    }

    friend bool operator==(const EndpointRecord&, const EndpointRecord&) = default;
    MSGPACK_DEFINE(id, startedMs, service, ip, port, dataCentre, slots, state, versions, software, isSpot)
};

/// The part of a heartbeat that is not replicated.
struct HeartbeatStatus {
    EndpointId id;
    std::uint64_t startedMs = 0;
    std::uint64_t sequence = 0;
    std::map<std::string, WeightVersion> versions; ///< By model.
    std::optional<std::uint64_t> leavesMs {}; ///< Milliseconds until a draining endpoint leaves, if it named them.

    friend bool operator==(const HeartbeatStatus&, const HeartbeatStatus&) = default;
    MSGPACK_DEFINE(id, startedMs, sequence, versions, leavesMs)
};

/// A heartbeat of an endpoint.
struct EndpointHeartbeat {
    EndpointRecord record;
    std::uint64_t sequence = 0; ///< Increases with each heartbeat of an incarnation.
    std::optional<std::uint64_t> leavesMs {}; ///< Milliseconds until a draining endpoint leaves, if it named them.

    [[nodiscard]] HeartbeatStatus status() const { return { record.id, record.startedMs, sequence, record.versions, leavesMs }; }

    friend bool operator==(const EndpointHeartbeat&, const EndpointHeartbeat&) = default;
    MSGPACK_DEFINE(record, sequence, leavesMs)
};

/// Identifies one incarnation of an endpoint.
struct EndpointIncarnation {
    EndpointId id;
    std::uint64_t startedMs = 0; ///< 0 in a deregistration without a start time, which applies to any incarnation.

    friend bool operator==(const EndpointIncarnation&, const EndpointIncarnation&) = default;
    MSGPACK_DEFINE(id, startedMs)
};

}

MSGPACK_ADD_ENUM(azurepaddle::registry::EndpointState)
