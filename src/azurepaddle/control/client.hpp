#pragma once

#include "azurepaddle/control/group.hpp"

#include <optional>

namespace azurepaddle::control {

enum class ClientErrorCode : unsigned char {
    Unavailable, ///< No leader answered in time; the command was certainly not applied.
    Unknown, ///< No leader confirmed in time; the command may have been applied.
    Refused, ///< The log refuses the command as malformed or too large.
};

using ClientError = LayerError<ClientErrorCode>;

/// Finds the leader of the log group and submits commands and queries to it, from any instance. A command keeps its id
/// over all retries, so it is applied once. Thread-safe.
class ControlClient {
public:
    /// The group is this instance's own participant, or null.
    ControlClient(std::string self, std::map<std::string, InstanceAddress> voters, transport::PeerClient& client, ControlGroup* group);

    [[nodiscard]] tl::expected<ControlReply, ClientError> submit(ControlAction action, TimePoint deadline);
    [[nodiscard]] tl::expected<ControlAnswer, ClientError> read(const ControlQuery& query, TimePoint deadline);

    /// Name of the instance that led when last asked; empty if unknown.
    [[nodiscard]] std::string leader() const;

private:
    /// The reply of one instance, and whether the request may have been handled without one.
    struct Attempt {
        std::optional<GroupReply> reply;
        bool mayHaveRun = false;
    };

    [[nodiscard]] tl::expected<std::string, ClientError> ask(const std::string& method, const std::string& body, TimePoint deadline);
    [[nodiscard]] Attempt askOne(const std::string& name, const std::string& method, const std::string& body, TimePoint deadline);
    [[nodiscard]] std::string pickTarget(unsigned attempt) const;
    void noteLeader(const std::string& leader);

    const std::string m_self;
    const std::map<std::string, InstanceAddress> m_voters;
    transport::PeerClient& m_client;
    ControlGroup* m_group;
    const SystemClock m_clock {};
    mutable std::mutex m_mutex;
    std::string m_leader;
};

}
