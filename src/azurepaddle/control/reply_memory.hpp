#pragma once

#include "azurepaddle/control/types.hpp"

#include <map>
#include <string>

namespace azurepaddle::control {

struct CachedReply {
    LogTime expiresAt = 0;
    std::string bytes;

    bool operator==(const CachedReply&) const = default;
    MSGPACK_DEFINE(expiresAt, bytes)
};

/// Encoded replies by command id, kept for as long as a retry of the command is accepted.
class ReplyCache {
public:
    ReplyCache() = default;
    ReplyCache(const ReplyCache& other);
    ReplyCache(ReplyCache&&) = default;
    ReplyCache& operator=(const ReplyCache& other);
    ReplyCache& operator=(ReplyCache&&) = default;
    ~ReplyCache() = default;

    /// The stored reply to the command, or null.
    [[nodiscard]] const std::string* find(const CommandId& id) const;
    void store(const CommandId& id, std::string reply, LogTime now);
    void expire(LogTime now);

    [[nodiscard]] std::size_t size() const noexcept { return m_replies.size(); }
    /// Rebuilds the expiry index after decoding.
    void rebuildIndex();

    bool operator==(const ReplyCache& other) const { return m_replies == other.m_replies; }
    MSGPACK_DEFINE(m_replies)

private:
    std::map<CommandId, CachedReply> m_replies;
    std::multimap<LogTime, std::map<CommandId, CachedReply>::iterator> m_byExpiry;
};

}
