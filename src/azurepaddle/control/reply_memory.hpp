#pragma once

#include "azurepaddle/control/types.hpp"

#include <map>
#include <string>

namespace azurepaddle::control {

struct RememberedReply {
    LogTime forgetAt = 0;
    std::string bytes;

    bool operator==(const RememberedReply&) const = default;
    MSGPACK_DEFINE(forgetAt, bytes)
};

/// Encoded replies by command id, kept for as long as a retry of the command is accepted.
class ReplyMemory {
public:
    ReplyMemory() = default;
    ReplyMemory(const ReplyMemory& other);
    ReplyMemory(ReplyMemory&&) = default;
    ReplyMemory& operator=(const ReplyMemory& other);
    ReplyMemory& operator=(ReplyMemory&&) = default;
    ~ReplyMemory() = default;

    /// The reply of this command, or null if it is not known.
    [[nodiscard]] const std::string* find(const CommandId& id) const;
    void remember(const CommandId& id, std::string reply, LogTime now);
    void expire(LogTime now);

    [[nodiscard]] std::size_t size() const noexcept { return m_replies.size(); }
    /// Rebuilds the expiry index after decoding.
    void rebuildIndex();

    bool operator==(const ReplyMemory& other) const { return m_replies == other.m_replies; }
    MSGPACK_DEFINE(m_replies)

private:
    std::map<CommandId, RememberedReply> m_replies;
    std::multimap<LogTime, std::map<CommandId, RememberedReply>::iterator> m_byExpiry;
};

}
