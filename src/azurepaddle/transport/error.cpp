#include "azurepaddle/transport/error.hpp"

#include <array>
#include <fmt/format.h>

namespace azurepaddle::transport {

namespace {

    struct NamedCode {
        PeerErrorCode code;
        std::string_view name;
    };

    constexpr std::array<NamedCode, 7> codeNames { {
        { PeerErrorCode::Unauthorized, "unauthorized" },
        { PeerErrorCode::UnknownMethod, "unknown-method" },
        { PeerErrorCode::TooLarge, "too-large" },
        { PeerErrorCode::Overloaded, "overloaded" },
        { PeerErrorCode::Expired, "expired" },
        { PeerErrorCode::Stopping, "stopping" },
        { PeerErrorCode::Failed, "failed" },
    } };

}

std::string_view peerErrorName(PeerErrorCode code) noexcept
{
    for (const NamedCode& entry : codeNames) {
        if (entry.code == code)
            return entry.name;
    }
    return "failed";
}

std::optional<PeerErrorCode> parsePeerError(std::string_view name) noexcept
{
    for (const NamedCode& entry : codeNames) {
        if (entry.name == name)
            return entry.code;
    }
    return std::nullopt;
}

TransportError::TransportError(PeerError error)
    : LayerError(TransportErrorCode::Refused, fmt::format("refused by the peer ({}): {}", peerErrorName(error.code), error.message))
    , m_peerError(std::move(error))
{
}

Outcome TransportError::outcome() const noexcept
{
    switch (code()) {
    case TransportErrorCode::NotSent:
    case TransportErrorCode::Setup:
        return Outcome::NotRun;
    case TransportErrorCode::Unknown:
    case TransportErrorCode::Deadline:
        return Outcome::Unknown;
    case TransportErrorCode::Refused:
        return m_peerError && m_peerError->code != PeerErrorCode::Failed ? Outcome::NotRun : Outcome::Failed;
    }
    return Outcome::Unknown;
}

}
