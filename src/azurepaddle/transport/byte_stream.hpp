#pragma once

#include "azurepaddle/transport/tls.hpp"

#include <asio.hpp>
#include <functional>
#include <string>
#include <variant>

namespace azurepaddle::transport::internal {

using Tcp = asio::ip::tcp;
using IoHandler = std::function<void(std::error_code, std::size_t)>;

/// A connected socket with or without TLS. Not thread-safe. The owner must keep it alive until its handlers have run.
class ByteStream {
public:
    /// Creates a plain TCP stream if there is no context.
    ByteStream(Tcp::socket socket, const TlsContext& context);

    [[nodiscard]] Tcp::socket& socket() noexcept;

    /// Runs the TLS handshake and checks that it negotiated HTTP/2. Completes at once for plain TCP.
    void handshake(TlsRole role, std::function<void(std::error_code)> handler);

    void readSome(asio::mutable_buffer buffer, IoHandler handler);
    void write(asio::const_buffer buffer, IoHandler handler);
    void close() noexcept;

private:
    using TlsSocket = asio::ssl::stream<Tcp::socket>;

    TlsContext m_context;
    std::variant<Tcp::socket, TlsSocket> m_stream;
};

}
