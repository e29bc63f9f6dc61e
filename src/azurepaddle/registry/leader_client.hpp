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
    NotRun, ///< No leader accepted the request.
    Unknown, ///< A leader may have executed the request.
};

template <typename Reply>
using LeaderResult = tl::expected<Reply, LeaderErrorCode>;

/// The reply of an instance that handled a request, or else the address of an instance that may handle it, if known.
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

/// Sends requests to the current leader and retries until their deadlines, following redirects. All requests must be
/// idempotent, because a retry may reach a leader that has executed them already. Not thread-safe: used on one event
/// loop.
class LeaderClient {
public:
    LeaderClient(asio::io_context& io, transport::PeerClient& client);
    LeaderClient(const LeaderClient&) = delete;
    LeaderClient& operator=(const LeaderClient&) = delete;

    /// Replaces the addresses at which the leader is searched. An empty list is ignored.
    void setMembers(std::vector<InstanceAddress> members);
    [[nodiscard]] const std::vector<InstanceAddress>& members() const noexcept { return m_members; }
    /// Sets the leader's address if it is known from another source.
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
    struct PendingRequest {
        std::string method;
        std::string body;
        TimePoint deadline;
        std::function<void(LeaderResult<std::string>)> callback;
        bool mayHaveRun = false;
        unsigned attemptCount = 0;
    };

    void sendBytes(std::string method, std::string body, TimePoint deadline, std::function<void(LeaderResult<std::string>)> callback);
    void attempt(const std::shared_ptr<PendingRequest>& pending);
    void onResult(const std::shared_ptr<PendingRequest>& pending, const InstanceAddress& peer, const transport::CallResult& result);
    void retry(const std::shared_ptr<PendingRequest>& pending, Duration delay);
    [[nodiscard]] std::optional<InstanceAddress> chooseMember();

    asio::io_context& m_io;
    transport::PeerClient& m_client;
    const SystemClock m_clock {};
    std::vector<InstanceAddress> m_members;
    std::optional<InstanceAddress> m_leader;
    std::size_t m_nextMember = 0; ///< Index of the next member to ask while the leader is unknown.
};

}
