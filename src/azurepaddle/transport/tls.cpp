#include "azurepaddle/transport/tls.hpp"

#include <array>
#include <cstring>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace azurepaddle::transport {

namespace {

    std::optional<std::string> readFile(const std::string& path)
    {
        std::ifstream file(path, std::ios::binary);
        std::ostringstream text;
        if (!(text << file.rdbuf()))
            return std::nullopt;
        return text.str();
    }

}

tl::expected<TlsIdentity, TransportError> loadTlsIdentity(const std::string& certificateFile, const std::string& keyFile, const std::string& authorityFile)
{
    const std::array<const std::string*, 3> paths { &certificateFile, &keyFile, &authorityFile };
    std::array<std::string, 3> texts;
    for (std::size_t i = 0; i < paths.size(); ++i) {
        std::optional<std::string> text = readFile(*paths[i]);
        if (!text)
            return tl::unexpected(TransportError(TransportErrorCode::Setup, fmt::format("cannot read the PEM file {}", *paths[i])));
        texts[i] = std::move(*text);
    }
    return TlsIdentity { std::move(texts[0]), std::move(texts[1]), std::move(texts[2]) };
}

namespace internal {

    namespace {

        constexpr std::array<unsigned char, 3> alpnProtocols { 2, 'h', '2' };

        int selectProtocol(SSL*, const unsigned char** chosen, unsigned char* chosenLength, const unsigned char* offered,
            unsigned int offeredLength, void*)
        {
            unsigned char* found = nullptr;
            const int result = SSL_select_next_proto(&found, chosenLength, alpnProtocols.data(), alpnProtocols.size(), offered, offeredLength);
            *chosen = found;
            return result == OPENSSL_NPN_NEGOTIATED ? SSL_TLSEXT_ERR_OK : SSL_TLSEXT_ERR_ALERT_FATAL;
        }

        tl::unexpected<TransportError> setupError(std::string_view what, const std::error_code& error)
        {
            return tl::unexpected(TransportError(TransportErrorCode::Setup, fmt::format("{}: {}", what, error.message())));
        }

    }

    tl::expected<TlsContext, TransportError> makeTlsContext(const TlsIdentity& identity, TlsRole role)
    {
        auto context = std::make_shared<asio::ssl::context>(asio::ssl::context::tls);
        std::error_code error;
        context->use_certificate_chain(asio::buffer(identity.certificatePem), error);
        if (error)
            return setupError("cannot use the certificate", error);
        context->use_private_key(asio::buffer(identity.keyPem), asio::ssl::context::pem, error);
        if (error)
            return setupError("cannot use the private key", error);
        context->add_certificate_authority(asio::buffer(identity.authorityPem), error);
        if (error)
            return setupError("cannot use the certificate authority", error);
        context->set_verify_mode(asio::ssl::verify_peer | asio::ssl::verify_fail_if_no_peer_cert);
        SSL_CTX_set_min_proto_version(context->native_handle(), TLS1_2_VERSION);
        // HTTP/2 forbids renegotiation, and session tickets are of no use on persistent connections.
        SSL_CTX_set_options(context->native_handle(), SSL_OP_NO_RENEGOTIATION | SSL_OP_NO_TICKET);
        if (role == TlsRole::Server)
            SSL_CTX_set_alpn_select_cb(context->native_handle(), selectProtocol, nullptr);
        else
            SSL_CTX_set_alpn_protos(context->native_handle(), alpnProtocols.data(), alpnProtocols.size());
        return context;
    }

    bool negotiatedHttp2(SSL* ssl) noexcept
    {
        const unsigned char* protocol = nullptr;
        unsigned int length = 0;
        SSL_get0_alpn_selected(ssl, &protocol, &length);
        return length == 2 && std::memcmp(protocol, "h2", 2) == 0;
    }

}

}
