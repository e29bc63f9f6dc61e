#pragma once

#include <asio.hpp>
#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace azurepaddle::pipeline {

/// A TCP server that reads one request head and body per connection and then does as it is told. It counts requests.
class RawPeer {
public:
    using Socket = asio::ip::tcp::socket;

    explicit RawPeer(std::function<void(Socket&)> onRequest)
        : m_onRequest(std::move(onRequest))
        , m_thread([this] { serve(); })
    {
    }

    ~RawPeer()
    {
        m_stopping = true;
        asio::error_code ignored;
        Socket waker(m_context);
        waker.connect(m_acceptor.local_endpoint(), ignored);
        waker.close(ignored);
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
            asio::error_code error;
            std::string head;
            asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", error);
            if (error)
                continue;
            ++m_requests;
            m_onRequest(socket);
        }
    }

    std::function<void(Socket&)> m_onRequest;
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor { m_context, { asio::ip::address_v4::loopback(), 0 } };
    std::atomic<int> m_requests = 0;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

/// Writes a whole string to a socket.
inline void writeAll(RawPeer::Socket& socket, const std::string& text)
{
    asio::error_code ignored;
    asio::write(socket, asio::buffer(text), ignored);
}

}
