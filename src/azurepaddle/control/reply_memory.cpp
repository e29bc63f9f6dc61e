#include "azurepaddle/control/reply_memory.hpp"

namespace azurepaddle::control {

ReplyCache::ReplyCache(const ReplyCache& other)
    : m_replies(other.m_replies)
{
    rebuildIndex();
}

ReplyCache& ReplyCache::operator=(const ReplyCache& other)
{
    if (this != &other)
        *this = ReplyCache(other);
    return *this;
}

const std::string* ReplyCache::find(const CommandId& id) const
{
    const auto found = m_replies.find(id);
    return found == m_replies.end() ? nullptr : &found->second.bytes;
}

void ReplyCache::store(const CommandId& id, std::string reply, LogTime now)
{
    // The first send time may be ahead of the log time by maxClockDifference, so retries are accepted that much longer.
    const LogTime expiresAt = now + replyRetention + maxClockDifference;
    const auto [entry, isNew] = m_replies.emplace(id, CachedReply { expiresAt, std::move(reply) });
    if (isNew)
        m_byExpiry.emplace(expiresAt, entry);
}

void ReplyCache::expire(LogTime now)
{
    while (!m_byExpiry.empty() && m_byExpiry.begin()->first <= now) {
        m_replies.erase(m_byExpiry.begin()->second);
        m_byExpiry.erase(m_byExpiry.begin());
    }
}

void ReplyCache::rebuildIndex()
{
    m_byExpiry.clear();
    for (auto entry = m_replies.begin(); entry != m_replies.end(); ++entry)
        m_byExpiry.emplace(entry->second.expiresAt, entry);
}

}
