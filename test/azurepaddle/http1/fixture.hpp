#pragma once

#include "azurepaddle/http1/client.hpp"
#include "azurepaddle/http1/server.hpp"

#include <criterion/criterion.h>
#include <thread>

namespace fixture {

using namespace azurepaddle;
using namespace azurepaddle::http1;

constexpr auto generousBound = std::chrono::seconds(30);

/// Runs the event loop until a condition holds. Returns false on timeout.
inline bool runUntil(asio::io_context& io, const std::function<bool()>& condition)
{
    const SystemClock clock;
    const TimePoint end = clock.now() + generousBound;
    io.restart();
    while (!condition() && clock.now() < end)
        io.run_one_for(std::chrono::milliseconds(5));
    return condition();
}

/// A peer that sends raw bytes: on each connection, those that its script returns for the bytes received so far.
class RawPeer {
public:
    using Script = std::function<std::string(const std::string&)>;

    RawPeer(asio::io_context& io, Script script)
        : m_acceptor(io, { asio::ip::make_address("127.0.0.1"), 0 })
        , m_script(std::move(script))
    {
        accept();
    }

    [[nodiscard]] InstanceAddress address() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }
    [[nodiscard]] int accepted() const { return m_accepted; }
    [[nodiscard]] int closed() const { return m_closed; }
    /// Simulates the end of the process: closes the listening socket and all connections.
    void crash()
    {
        m_acceptor.close();
        closeAll();
    }
    void closeAll()
    {
        for (const auto& connection : m_connections)
            connection->socket.close();
    }

private:
    struct Connection {
        asio::ip::tcp::socket socket;
        std::string received {};
        std::array<char, 4096> buffer {};
    };

    void accept()
    {
        m_acceptor.async_accept([this](std::error_code error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            ++m_accepted;
            m_connections.push_back(std::make_shared<Connection>(Connection { std::move(socket) }));
            read(m_connections.back());
            accept();
        });
    }

    void read(const std::shared_ptr<Connection>& connection)
    {
        connection->socket.async_read_some(asio::buffer(connection->buffer), [this, connection](std::error_code error, std::size_t size) {
            if (error) {
                ++m_closed;
                return;
            }
            connection->received.append(connection->buffer.data(), size);
            const std::string reply = m_script(connection->received);
            std::error_code ignored;
            if (!reply.empty()) {
                connection->received.clear();
                asio::write(connection->socket, asio::buffer(reply), ignored);
            }
            read(connection);
        });
    }

    asio::ip::tcp::acceptor m_acceptor;
    Script m_script;
    std::vector<std::shared_ptr<Connection>> m_connections;
    int m_accepted = 0;
    int m_closed = 0;
};

/// The outcome of one call.
struct Received {
    std::optional<CallEnd> end;
    Response response;

    [[nodiscard]] CallEvents events(const std::string& expectedId = {})
    {
        return { [this, expectedId](const Response& head) {
                    if (!expectedId.empty() && head.fields.find("X-Id") != expectedId)
                        return false;
                    response = head;
                    return true;
                },
            [this](const std::string& bytes) { response.body += bytes; },
            [this](CallEnd callEnd) { end = std::move(callEnd); } };
    }
};

}
