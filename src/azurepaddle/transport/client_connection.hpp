#pragma once

#include "azurepaddle/transport/http2_link.hpp"
#include "azurepaddle/transport/peer_client.hpp"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace azurepaddle::transport::internal {

class ClientConnection;

/// A request of a client until its completion has run.
struct Call {
    InstanceAddress peer;
    std::string method;
    std::string body;
    std::string requestId;
    Deadline deadline;
    Completion completion; ///< Empty once the call is complete.
    std::unique_ptr<asio::steady_timer> timer;
    std::function<void()> onDone; ///< Called when the call ends, to update the state of the peer.
    std::weak_ptr<ClientConnection> connection; ///< Connection on which the call is sent.
    std::int32_t stream = -1; ///< Identifier of its stream on that connection; negative before it is sent.
    bool sent = false; ///< Bytes of the request were written to the socket.

    [[nodiscard]] bool done() const noexcept { return !completion; }
    void finish(CallResult result);
    void fail(TransportErrorCode code, const std::string& message);
    /// The error code of a failure: Unknown if the request was sent, otherwise NotSent.
    void failBySent(const std::string& message);
};

using CallPointer = std::shared_ptr<Call>;

/// Callbacks of a connection. They run on the I/O thread.
struct ConnectionEvents {
    std::function<void()> onReady;
    std::function<void()> onGoaway; ///< No new calls are possible; those in progress continue.
    std::function<void(const std::string&, bool)> onDown; ///< Reason, and whether the connection had been ready.
    std::function<void()> onResponse;
};

/// The client side of a connection.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
    ClientConnection(asio::io_context& io, const ClientOptions& options, TlsContext tls, InstanceAddress peer, ConnectionEvents events);

    /// Connects, and calls onReady once the settings of the peer have been received.
    void connect();

    /// Sends a call. The connection must be ready.
    void send(const CallPointer& call);

    /// Cancels a call whose deadline has passed.
    void cancel(std::int32_t stream);

    /// Sends a ping if one is due, and closes the connection if a ping was not answered in time. `lag` is the delay of
    /// this check, which is not attributed to the peer.
    void checkSilence(TimePoint now, Duration lag);

    /// Closes the connection and fails its calls.
    void shutDown(const std::string& reason);

    [[nodiscard]] const InstanceAddress& peer() const noexcept { return m_peer; }
    [[nodiscard]] bool down() const noexcept { return m_down; }
    /// Whether the connection accepts no further calls.
    [[nodiscard]] bool draining() const noexcept { return m_draining; }
    [[nodiscard]] bool ready() const noexcept { return m_ready; }
    [[nodiscard]] bool idle() const noexcept { return m_calls.empty(); }
    [[nodiscard]] TimePoint lastUsed() const noexcept { return m_lastUsed; }

private:
    [[nodiscard]] LinkEvents makeEvents();
    [[nodiscard]] std::vector<HeaderField> makeFields(const Call& call) const;
    void onConnected(Tcp::socket socket, std::error_code error);
    void onMessage(std::int32_t stream, Http2Message message);
    void onStreamClosed(std::int32_t stream, std::uint32_t code);
    void onReady();
    void drain();
    [[nodiscard]] bool onChunk(std::int32_t stream, std::size_t before, std::size_t size);
    [[nodiscard]] CallPointer take(std::int32_t stream);

    asio::io_context& m_io;
    const ClientOptions& m_options;
    TlsContext m_tls;
    InstanceAddress m_peer;
    ConnectionEvents m_events;
    asio::steady_timer m_connectTimer;
    std::shared_ptr<Tcp::socket> m_connecting;
    std::shared_ptr<Http2Link> m_link;
    std::unordered_map<std::int32_t, CallPointer> m_calls;
    SystemClock m_clock;
    TimePoint m_lastUsed;
    TimePoint m_pingSent;
    bool m_ready = false;
    bool m_draining = false;
    bool m_down = false;
};

}
