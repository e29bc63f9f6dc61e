#pragma once

#include "azurepaddle/transport/peer_client.hpp"
#include "azurepaddle/transport/peer_server.hpp"

#include <asio.hpp>
#include <functional>
#include <string>
#include <thread>

namespace fixture {

using namespace azurepaddle;
using namespace azurepaddle::transport;

constexpr auto generousBound = std::chrono::seconds(30);

inline Deadline soon(Duration duration = generousBound)
{
    return SystemClock().now() + duration;
}

/// Waits for a condition. False if it does not hold within the generous bound.
inline bool waitUntil(const std::function<bool()>& condition)
{
    const Deadline end = soon();
    while (!condition()) {
        if (SystemClock().now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

inline ServerOptions serverOptions()
{
    ServerOptions options;
    options.listen = { "127.0.0.1", 0 };
    options.secret = "the shared secret";
    return options;
}

inline ClientOptions clientOptions()
{
    ClientOptions options;
    options.secret = "the shared secret";
    options.connectTimeout = std::chrono::seconds(5);
    return options;
}

/// A port that was free a moment ago, for servers whose address others must know before they start.
inline std::uint16_t freePort()
{
    asio::io_context io;
    asio::ip::tcp::acceptor acceptor(io, { asio::ip::make_address("127.0.0.1"), 0 });
    return acceptor.local_endpoint().port();
}

/// A server with the methods `echo` and `fail`, and a client. Start it after further handlers are registered.
struct Pair {
    explicit Pair(ServerOptions forServer = serverOptions(), ClientOptions forClient = clientOptions())
        : server(std::move(forServer))
        , client(std::move(forClient))
    {
        server.handle("echo", [](const PeerRequest& request) -> PeerReply { return request.body; });
        server.handle("fail", [](const PeerRequest&) -> PeerReply { return tl::unexpected(std::string("no leader")); });
    }

    bool start() { return server.start() && client.start(); }

    CallResult call(const std::string& method, std::string body) { return client.call(server.address(), method, std::move(body), soon()); }

    PeerServer server;
    PeerClient client;
};

/// A peer that runs a script on each connection it accepts, one at a time, until the script returns.
class ScriptedPeer {
public:
    using Script = std::function<void(asio::ip::tcp::socket&)>;

    explicit ScriptedPeer(Script script)
        : m_acceptor(m_io, { asio::ip::make_address("127.0.0.1"), 0 })
        , m_thread([this, script = std::move(script)] { run(script); })
    {
    }

    ~ScriptedPeer()
    {
        m_stopping = true;
        asio::ip::tcp::socket wakeup(m_io);
        std::error_code ignored;
        wakeup.connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
    }

    [[nodiscard]] InstanceAddress address() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }
    [[nodiscard]] int accepted() const { return m_accepted; }

private:
    void run(const Script& script)
    {
        while (true) {
            asio::ip::tcp::socket socket = m_acceptor.accept();
            if (m_stopping)
                return;
            ++m_accepted;
            script(socket);
        }
    }

    asio::io_context m_io;
    asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_accepted = 0;
    std::thread m_thread;
};

/// One HTTP/2 frame.
inline std::string http2Frame(unsigned char type, unsigned char flags, unsigned char stream, const std::string& payload)
{
    const auto size = static_cast<std::uint32_t>(payload.size());
    std::string bytes;
    for (const unsigned shift : { 16U, 8U, 0U })
        bytes.push_back(static_cast<char>(size >> shift));
    bytes += { static_cast<char>(type), static_cast<char>(flags), 0, 0, 0, static_cast<char>(stream) };
    return bytes + payload;
}

inline std::string emptySettings() { return http2Frame(4, 0, 0, ""); }

/// A header block with status 200 and a request identifier.
inline std::string responseHead(const std::string& requestId)
{
    const std::string name = "x-azurepaddle-request-id";
    return std::string("\x88\0", 2) + static_cast<char>(name.size()) + name + static_cast<char>(requestId.size()) + requestId;
}

inline void writeAll(asio::ip::tcp::socket& socket, const std::string& bytes)
{
    std::error_code ignored;
    asio::write(socket, asio::buffer(bytes), ignored);
}

/// Reads until the other side closes the connection.
inline std::string readToEnd(asio::ip::tcp::socket& socket)
{
    std::string bytes;
    std::error_code error;
    asio::read(socket, asio::dynamic_buffer(bytes), error);
    return bytes;
}

/// Reads until the header frame of a request arrived; the client sends its body and header at once.
inline void readSome(asio::ip::tcp::socket& socket, std::size_t atLeast)
{
    std::string bytes;
    std::error_code error;
    asio::read(socket, asio::dynamic_buffer(bytes), asio::transfer_at_least(atLeast), error);
}

}
