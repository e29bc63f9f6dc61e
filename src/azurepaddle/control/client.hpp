#pragma once

#include "azurepaddle/control/group.hpp"

#include <optional>

namespace azurepaddle::control {

enum class ClientErrorCode : unsigned char {
    Unavailable, ///< No leader answered in time; the command was certainly not applied.
    Unknown, ///< No leader confirmed in time; the command may have been applied.
    Refused, ///< The leader refused the command as malformed or too large.
};

using ClientError = LayerError<ClientErrorCode>;

/// Finds the leader of the log group and submits commands and queries to it, from any instance. A command keeps its id
/// over all retries, so it is applied once. Thread-safe.
class ControlClient {
public:
    /// group is the participant that runs in this instance, or null.
    ControlClient(std::string self, std::map<std::string, InstanceAddress> voters, transport::PeerClient& client, ControlGroup* group);

    [[nodiscard]] tl::expected<ControlReply, ClientError> submit(ControlAction action, TimePoint deadline);
    [[nodiscard]] tl::expected<ControlAnswer, ClientError> read(const ControlQuery& query, TimePoint deadline);

    /// Name of the last known leader; empty if unknown.
    [[nodiscard]] std::string leader() const;

private:
    /// The reply of one instance. Without a reply, mayHaveRun is true if the request may have been handled all the
    /// same.
    struct Attempt {
        std::optional<GroupReply> reply;
        bool mayHaveRun = false;
    };

    [[nodiscard]] tl::expected<std::string, ClientError> callLeader(const std::string& method, const std::string& body, TimePoint deadline);
    [[nodiscard]] Attempt callInstance(const std::string& name, const std::string& method, const std::string& body, TimePoint deadline);
    [[nodiscard]] std::string selectTarget(unsigned attempt) const;
    void setLeader(const std::string& leader);

    const std::string m_self;
    const std::map<std::string, InstanceAddress> m_voters;
    transport::PeerClient& m_client;
    ControlGroup* m_group;
    const SystemClock m_clock {};
    mutable std::mutex m_mutex;
    std::string m_leader;
};

}
