#pragma once

#include "azurepaddle/core/error.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace azurepaddle::transport {

enum class TransportErrorCode : unsigned char {
    NotSent, ///< No byte of the request left this instance.
    Unknown, ///< The request was sent and no whole response came.
    Deadline, ///< The request was sent and its deadline passed before a whole response came.
    Refused, ///< The peer answered with an error, given by TransportError::peerError.
    Setup, ///< The server or client could not start with its options.
};

/// Why a peer refused a request. Only Failed means that the handler ran.
enum class PeerErrorCode : unsigned char {
    Unauthorized, ///< The shared secret is missing or wrong.
    UnknownMethod, ///< No handler is registered under the method's name.
    TooLarge, ///< The request exceeds the peer's message limit.
    Overloaded, ///< A queue or buffer of the peer is full, or it refused the stream.
    Expired, ///< The deadline passed before the handler started.
    Stopping, ///< The peer is shutting down.
    Failed, ///< The handler ran and returned an error.
};

/// The name of the code in the response header.
[[nodiscard]] std::string_view peerErrorName(PeerErrorCode code) noexcept;

/// The code with this name. Nothing if there is none.
[[nodiscard]] std::optional<PeerErrorCode> parsePeerError(std::string_view name) noexcept;

/// The error that a peer put into its response.
struct PeerError {
    PeerErrorCode code = PeerErrorCode::Failed;
    std::string message;

    friend bool operator==(const PeerError&, const PeerError&) = default;
};

/// Why a request to a peer brought no response.
class TransportError : public LayerError<TransportErrorCode> {
public:
    using LayerError::LayerError;
    explicit TransportError(PeerError error);

    /// The peer's own error; set exactly if the code is Refused.
    [[nodiscard]] const std::optional<PeerError>& peerError() const noexcept { return m_peerError; }

    /// What is known about the request at the peer.
    [[nodiscard]] Outcome outcome() const noexcept;

    friend bool operator==(const TransportError&, const TransportError&) = default;

private:
    std::optional<PeerError> m_peerError;
};

}
