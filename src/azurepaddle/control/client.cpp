#include "azurepaddle/control/client.hpp"

#include "azurepaddle/core/digest.hpp"

#include <algorithm>
#include <thread>

namespace azurepaddle::control {

namespace {

    constexpr Duration retryInterval = std::chrono::milliseconds(50);
    // Without this limit, an unreachable leader would block a request until its deadline.
    constexpr Duration attemptTimeout = std::chrono::milliseconds(1500);
    constexpr std::size_t commandIdBytes = 16;

}

ControlClient::ControlClient(std::string self, std::map<std::string, InstanceAddress> voters, transport::PeerClient& client, ControlGroup* group)
    : m_self(std::move(self))
    , m_voters(std::move(voters))
    , m_client(client)
    , m_group(group)
{
}

tl::expected<ControlReply, ClientError> ControlClient::submit(ControlAction action, TimePoint deadline)
{
    const ControlCommand command { CommandId(randomHex(commandIdBytes)), m_clock.wallNow().time_since_epoch().count(), 0, std::move(action) };
    const auto body = callLeader("submit", encodeCommand(command), deadline);
    if (!body)
        return tl::unexpected(body.error());
    auto reply = decodeReply(*body);
    if (!reply)
        return makeError(ClientErrorCode::Unknown, reply.error().message());
    return std::move(*reply);
}

tl::expected<ControlAnswer, ClientError> ControlClient::read(const ControlQuery& query, TimePoint deadline)
{
    const auto body = callLeader("read", encodeQuery(query), deadline);
    if (!body)
        return tl::unexpected(body.error());
    auto answer = decodeAnswer(*body);
    if (!answer)
        return makeError(ClientErrorCode::Unknown, answer.error().message());
    return std::move(*answer);
}

std::string ControlClient::leader() const
{
    const std::lock_guard lock(m_mutex);
    return m_leader;
}

void ControlClient::setLeader(const std::string& leader)
{
    const std::lock_guard lock(m_mutex);
    m_leader = m_voters.contains(leader) ? leader : std::string();
}

std::string ControlClient::selectTarget(unsigned attempt) const
{
    std::string knownLeader = leader();
    if (!knownLeader.empty())
        return knownLeader;
    auto target = m_voters.begin();
    std::advance(target, attempt % m_voters.size());
    return target->first;
}

ControlClient::Attempt ControlClient::callInstance(const std::string& name, const std::string& method, const std::string& body, TimePoint deadline)
{
    if (m_group && name == m_self)
        return { method == "submit" ? m_group->submit(body, deadline) : m_group->read(body, deadline), false };
    const auto response = m_client.call(m_voters.at(name), method, body, deadline);
    if (!response)
        return { std::nullopt, response.error().outcome() != Outcome::NotRun };
    auto reply = codec::decode<GroupReply>(*response);
    if (!reply)
        return { std::nullopt, true };
    return { std::move(*reply), false };
}

tl::expected<std::string, ClientError> ControlClient::callLeader(const std::string& method, const std::string& body, TimePoint deadline)
{
    if (m_voters.empty())
        return makeError(ClientErrorCode::Unavailable, "no voters are configured");
    bool mayHaveRun = false;
    for (unsigned attempt = 0; m_clock.now() < deadline; ++attempt) {
        const std::string target = selectTarget(attempt);
        const auto result = callInstance(target, method, body, std::min(deadline, m_clock.now() + attemptTimeout));
        mayHaveRun = mayHaveRun || result.mayHaveRun;
        if (!result.reply) {
            setLeader({});
            std::this_thread::sleep_for(retryInterval);
            continue;
        }
        switch (result.reply->status) {
        case GroupStatus::Ok:
            setLeader(target);
            return result.reply->body;
        case GroupStatus::Malformed:
            return makeError(ClientErrorCode::Refused, result.reply->body);
        case GroupStatus::NotLeader:
            setLeader(result.reply->leader == target ? std::string() : result.reply->leader);
            break;
        case GroupStatus::OutcomeUnknown:
            mayHaveRun = true;
            setLeader(result.reply->leader);
            break;
        case GroupStatus::Busy:
            break;
        }
        std::this_thread::sleep_for(retryInterval);
    }
    return makeError(mayHaveRun ? ClientErrorCode::Unknown : ClientErrorCode::Unavailable, "the leader of the log could not be reached in time");
}

}
