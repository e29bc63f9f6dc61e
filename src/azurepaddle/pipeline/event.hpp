#pragma once

#include "azurepaddle/core/ident.hpp"
#include "azurepaddle/pipeline/error.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azurepaddle::pipeline {

/// A stretch of tokens of one sample that one weight version generated.
struct Span {
    WeightVersion version = 0;
    std::uint32_t tokens = 0;

    friend bool operator==(const Span&, const Span&) = default;
};

/// One event of an engine's answer stream.
struct EngineEvent {
    RequestId request;
    std::uint32_t index = 0; ///< Which of several choices of one request.
    std::string text;
    std::uint32_t tokens = 0;
    std::optional<WeightVersion> version; ///< As the engine states it.
    std::string finishReason; ///< Empty until the choice ends.
    bool last = false; ///< The stream is whole.

    friend bool operator==(const EngineEvent&, const EngineEvent&) = default;
};

/// Reads one payload of a server-sent event.
[[nodiscard]] PipelineResult<EngineEvent> parseEngineEvent(std::string_view payload);

/// Cuts a byte stream into the payloads of server-sent events. The format is that of the HTML living standard,
/// reduced to data lines.
class ServerSentEventReader {
public:
    /// The limit bounds one event in bytes.
    explicit ServerSentEventReader(std::size_t maxEventBytes) noexcept
        : m_maxEventBytes(maxEventBytes)
    {
    }

    /// Calls the function for each complete payload. Returns false if the function does, or if an event exceeds the limit.
    bool feed(std::string_view bytes, const std::function<bool(std::string_view)>& onPayload);

private:
    bool takeLine(std::string_view line, const std::function<bool(std::string_view)>& onPayload);

    std::size_t m_maxEventBytes;
    std::string m_line;
    std::string m_payload;
};

/// The pieces of one choice, put together.
struct Answer {
    std::string text;
    std::uint32_t tokens = 0;
    std::vector<Span> spans;
    std::string finishReason;
    bool hasUnversionedTokens = false; ///< A piece stated no weight version.

    /// Adds a piece. Tokens of equal versions that follow each other share a span.
    void add(const EngineEvent& event);

    friend bool operator==(const Answer&, const Answer&) = default;
};

}
