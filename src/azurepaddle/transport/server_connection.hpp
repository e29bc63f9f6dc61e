#pragma once

#include "azurepaddle/transport/http2_link.hpp"
#include "azurepaddle/transport/peer_server.hpp"
#include "azurepaddle/transport/worker_lane.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace azurepaddle::transport::internal {

/// A registered method: its handler and the threads that run it.
struct MethodEntry {
    PeerHandler handler; ///< Empty if the method responds asynchronously.
    DeferredHandler deferred;
    HandlerOptions options;
    std::unique_ptr<WorkerLane> lane;
};

/// State shared by the connections of a server. Used on the I/O thread, except for the atomics and the meter. Responders
/// keep it alive, because handlers may drop them after the server was destroyed.
struct ServerShared : std::enable_shared_from_this<ServerShared> {
    explicit ServerShared(ServerOptions serverOptions)
        : options(std::move(serverOptions))
    {
    }

    ServerOptions options;
    TlsContext tls;
    std::map<std::string, MethodEntry, std::less<>> methods;
    std::size_t bufferedBytes = 0;
    std::atomic<std::size_t> inProgress = 0; ///< Requests whose response has not been passed to its connection yet.
    std::atomic<std::size_t> connections = 0; ///< Open connections.
    std::atomic<bool> stopping = false;
    asio::io_context io { 1 }; ///< Last, so that handlers which were never run are destroyed before what they use.
};

/// The server side of a connection.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
    ServerConnection(ServerShared& shared, Tcp::socket socket, std::string remote);
    ServerConnection(const ServerConnection&) = delete;
    ServerConnection& operator=(const ServerConnection&) = delete;
    ~ServerConnection();

    void start();
    void close() noexcept;
    void goaway() { m_link->goaway(); }

    /// Closes a connection that exceeds a timeout of the options.
    void checkTimeouts(TimePoint now);

    [[nodiscard]] bool closed() const noexcept { return m_link->closed(); }

private:
    struct Stream {
        std::string method;
        std::string requestId;
        MethodEntry* entry = nullptr; ///< Null for an unknown method.
        std::size_t buffered = 0;
        bool receiving = true;
        bool responded = false;
        TimePoint started; ///< Start of the request, and later of the response.
        Deadline deadline;
    };

    [[nodiscard]] bool onHead(std::int32_t stream, const Http2Message& message);
    [[nodiscard]] bool onChunk(std::int32_t stream, std::size_t before, std::size_t size);
    void onMessage(std::int32_t stream, Http2Message message);
    void onStreamClosed(std::int32_t stream);
    void dispatch(std::int32_t stream, const Stream& state, std::string body);
    void dispatchDeferred(std::int32_t stream, const MethodEntry& entry, PeerRequest request);
    void respond(std::int32_t stream, const PeerReply& reply);
    void refuse(std::int32_t stream, PeerErrorCode code, const std::string& message);
    void submit(std::int32_t stream, std::string_view status, std::string_view error, std::string body);
    void release(Stream& state) noexcept;
    [[nodiscard]] bool authorized(const Http2Message& message) const noexcept;
    [[nodiscard]] LinkEvents makeEvents();

    ServerShared& m_shared;
    std::string m_remote;
    std::shared_ptr<Http2Link> m_link;
    SystemClock m_clock;
    TimePoint m_accepted;
    std::unordered_map<std::int32_t, Stream> m_streams;
};

}
