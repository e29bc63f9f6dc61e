#pragma once

#include "azurepaddle/transport/options.hpp"

#include <asio/ssl.hpp>
#include <memory>

namespace azurepaddle::transport::internal {

using TlsContext = std::shared_ptr<asio::ssl::context>;

enum class TlsRole : unsigned char {
    Client,
    Server,
};

/// Creates a context for mutual TLS 1.2 or later with ALPN h2.
[[nodiscard]] tl::expected<TlsContext, TransportError> makeTlsContext(const TlsIdentity& identity, TlsRole role);

/// Whether the handshake negotiated HTTP/2.
[[nodiscard]] bool negotiatedHttp2(SSL* ssl) noexcept;

}
