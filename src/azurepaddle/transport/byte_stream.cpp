#include "azurepaddle/transport/byte_stream.hpp"

#include <utility>

namespace azurepaddle::transport::internal {

ByteStream::ByteStream(Tcp::socket socket, const TlsContext& context)
    : m_context(context)
    , m_stream(std::move(socket))
{
    if (!context)
        return;
    Tcp::socket plain = std::move(std::get<Tcp::socket>(m_stream));
    m_stream.emplace<TlsSocket>(std::move(plain), *context);
}

Tcp::socket& ByteStream::socket() noexcept
{
    if (auto* tls = std::get_if<TlsSocket>(&m_stream))
        return tls->next_layer();
    return *std::get_if<Tcp::socket>(&m_stream);
}

void ByteStream::handshake(TlsRole role, std::function<void(std::error_code)> handler)
{
    auto* tls = std::get_if<TlsSocket>(&m_stream);
    if (tls == nullptr) {
        asio::post(socket().get_executor(), [handler = std::move(handler)] { handler({}); });
        return;
    }
    const auto side = role == TlsRole::Client ? asio::ssl::stream_base::client : asio::ssl::stream_base::server;
    tls->async_handshake(side, [tls, handler = std::move(handler)](std::error_code error) {
        if (!error && !negotiatedHttp2(tls->native_handle()))
            error = std::make_error_code(std::errc::protocol_not_supported);
        handler(error);
    });
}

void ByteStream::readSome(asio::mutable_buffer buffer, IoHandler handler)
{
    std::visit([&](auto& stream) { stream.async_read_some(buffer, std::move(handler)); }, m_stream);
}

void ByteStream::write(asio::const_buffer buffer, IoHandler handler)
{
    std::visit([&](auto& stream) { asio::async_write(stream, buffer, std::move(handler)); }, m_stream);
}

void ByteStream::close() noexcept
{
    std::error_code ignored;
    socket().close(ignored);
}

}
