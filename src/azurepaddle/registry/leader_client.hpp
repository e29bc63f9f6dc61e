#pragma once

#include "azurepaddle/codec/codec.hpp"
#include "azurepaddle/control/group_messages.hpp"
#include "azurepaddle/core/address.hpp"
#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/transport/peer_client.hpp"

#include <asio.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace azurepaddle::registry {

/// Why a request has no reply.
enum class LeaderErrorCode : unsigned char {
    NotRun, ///< No leader took it.
    Unknown, ///< A leader may have carried it out.
};

template <typename Reply>
using LeaderResult = tl::expected<Reply, LeaderErrorCode>;

/// What an instance answered: the reply to a request it took, or else who may take it, as far as it knows.
template <typename Reply>
struct ReplyOrRedirect {
    std::optional<Reply> reply;
    std::optional<InstanceAddress> redirect;
};

template <typename Reply>
[[nodiscard]] ReplyOrRedirect<Reply> decodeReplyOrRedirect(const std::string& response)
{
    const auto envelope = codec::decode<control::GroupReply>(response);
    if (!envelope)
        return {};
    if (envelope->status != control::GroupStatus::Ok)
        return { std::nullopt, parseAddress(envelope->leader) };
    auto reply = codec::decode<Reply>(envelope->body);
    return { reply ? std::optional<Reply>(std::move(*reply)) : std::nullopt, std::nullopt };
}

/// Sends requests to the leader, wherever it is, until the deadline. All requests may be repeated. Used on one loop.
class LeaderClient {
public:
    LeaderClient(asio::io_context& io, transport::PeerClient& client);
    LeaderClient(const LeaderClient&) = delete;
    LeaderClient& operator=(const LeaderClient&) = delete;

    /// Replaces the addresses to look for the leader at.
    void setMembers(std::vector<InstanceAddress> members);
    [[nodiscard]] const std::vector<InstanceAddress>& members() const noexcept { return m_members; }
    /// Says where the leader is, if known from elsewhere.
    void setLeader(const std::optional<InstanceAddress>& leader) { m_leader = leader; }
    [[nodiscard]] const std::optional<InstanceAddress>& leader() const noexcept { return m_leader; }

    template <typename Request>
    void send(const Request& request, TimePoint deadline, std::function<void(LeaderResult<typename Request::Reply>)> callback)
    {
        sendBytes(std::string(Request::method), codec::encode(request), deadline, [callback = std::move(callback)](LeaderResult<std::string> bytes) {
            if (!bytes)
                return callback(tl::unexpected(bytes.error()));
            auto reply = codec::decode<typename Request::Reply>(*bytes);
            if (!reply)
                return callback(tl::unexpected(LeaderErrorCode::Unknown));
            callback(std::move(*reply));
        });
    }

private:
    struct Attempt {
        std::string method;
        std::string body;
        TimePoint deadline;
        std::function<void(LeaderResult<std::string>)> callback;
        bool mayHaveRun = false;
        unsigned tries = 0;
    };

    void sendBytes(std::string method, std::string body, TimePoint deadline, std::function<void(LeaderResult<std::string>)> callback);
    void attempt(const std::shared_ptr<Attempt>& attempt);
    void onResult(const std::shared_ptr<Attempt>& attempt, const InstanceAddress& peer, const transport::CallResult& result);
    void retry(const std::shared_ptr<Attempt>& attempt, Duration delay);
    [[nodiscard]] std::optional<InstanceAddress> choose();

    asio::io_context& m_io;
    transport::PeerClient& m_client;
    const SystemClock m_clock {};
    std::vector<InstanceAddress> m_members;
    std::optional<InstanceAddress> m_leader;
    std::size_t m_next = 0; ///< Member to ask next while the leader is unknown.
};

}
