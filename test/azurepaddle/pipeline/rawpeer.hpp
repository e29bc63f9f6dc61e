#pragma once

#include <asio.hpp>
#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <thread>

namespace azurepaddle::pipeline {

/// A request received by a RawPeer.
struct RawRequest {
    std::string id; ///< Value of the X-Azurepaddle-Request-Id header.
    int number = 0; ///< Counted from 1.
};

/// A TCP server that reads one request per connection, counts it, and then calls a function that may write any bytes to
/// the socket.
class RawPeer {
public:
    using Socket = asio::ip::tcp::socket;

    using OnRequest = std::function<void(Socket&, const RawRequest&)>;

    explicit RawPeer(OnRequest onRequest)
        : m_onRequest(std::move(onRequest))
        , m_thread([this] { serve(); })
    {
    }

    ~RawPeer()
    {
        m_stopping = true;
        asio::error_code ignored;
        Socket wakeUpConnection(m_context);
        wakeUpConnection.connect(m_acceptor.local_endpoint(), ignored);
        wakeUpConnection.close(ignored);
        m_thread.join();
    }

    RawPeer(const RawPeer&) = delete;
    RawPeer& operator=(const RawPeer&) = delete;

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }
    [[nodiscard]] int requests() const { return m_requests; }

private:
    void serve()
    {
        while (!m_stopping) {
            Socket socket(m_context);
            m_acceptor.accept(socket);
            const auto request = readRequest(socket);
            if (request)
                m_onRequest(socket, *request);
        }
    }

    /// Returns the value of a header, or an empty string if it is absent.
    static std::string headerOf(const std::string& head, const std::string& name)
    {
        const std::size_t at = head.find(name + ": ");
        if (at == std::string::npos)
            return {};
        const std::size_t begin = at + name.size() + 2;
        return head.substr(begin, head.find('\r', begin) - begin);
    }

    std::optional<RawRequest> readRequest(Socket& socket)
    {
        asio::error_code error;
        std::string bytes;
        const std::size_t headSize = asio::read_until(socket, asio::dynamic_buffer(bytes), "\r\n\r\n", error);
        if (error)
            return std::nullopt;
        const std::string contentLength = headerOf(bytes, "Content-Length");
        const std::size_t requestSize = headSize + (contentLength.empty() ? 0 : std::stoul(contentLength));
        // Closing a socket with unread data resets the connection, and the response would be lost.
        if (bytes.size() < requestSize)
            asio::read(socket, asio::dynamic_buffer(bytes), asio::transfer_exactly(requestSize - bytes.size()), error);
        if (!bytes.starts_with("POST /v1") && !bytes.starts_with("POST /call"))
            return std::nullopt;
        return RawRequest { headerOf(bytes, "X-Azurepaddle-Request-Id"), ++m_requests };
    }

    OnRequest m_onRequest;
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor { m_context, { asio::ip::address_v4::loopback(), 0 } };
    std::atomic<int> m_requests = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

/// Writes the complete string to a socket. Errors are ignored.
inline void writeAll(RawPeer::Socket& socket, const std::string& text)
{
    asio::error_code ignored;
    asio::write(socket, asio::buffer(text), ignored);
}

}
