#pragma once

#include "azurepaddle/core/error.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace azurepaddle::transport {

enum class TransportErrorCode : unsigned char {
    NotSent, ///< No byte of the request left this instance.
    Unknown, ///< The request was sent, and no complete response was received.
    Deadline, ///< The request was sent, and its deadline passed before a complete response was received.
    Refused, ///< The peer responded with an error; see TransportError::peerError.
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

/// Returns the name of the code in the response header.
[[nodiscard]] std::string_view peerErrorName(PeerErrorCode code) noexcept;

/// Returns the code with this name, or nothing if there is none.
[[nodiscard]] std::optional<PeerErrorCode> parsePeerError(std::string_view name) noexcept;

/// The error in the response of a peer.
struct PeerError {
    PeerErrorCode code = PeerErrorCode::Failed;
    std::string message;

    friend bool operator==(const PeerError&, const PeerError&) = default;
};

/// The reason why a request to a peer has no response.
class TransportError : public LayerError<TransportErrorCode> {
public:
    using LayerError::LayerError;
    explicit TransportError(PeerError error);

    /// The peer's own error; set exactly if the code is Refused.
    [[nodiscard]] const std::optional<PeerError>& peerError() const noexcept { return m_peerError; }

    /// Whether the peer may have run the request.
    [[nodiscard]] Outcome outcome() const noexcept;

    friend bool operator==(const TransportError&, const TransportError&) = default;

private:
    std::optional<PeerError> m_peerError;
};

}
