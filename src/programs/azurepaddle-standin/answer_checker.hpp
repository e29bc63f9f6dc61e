#pragma once

#include "text.hpp"

#include <nlohmann/json.hpp>
#include <optional>

namespace azurepaddle::standin {

/// What a caller received for one completion.
struct Answer {
    std::string requestId;
    std::string text;
    std::vector<Span> spans; ///< As labelled by the events or the body; empty if nothing is labelled.
    std::string finishReason;
    std::string outcome; ///< Of an error within the stream; empty if there was none.
    bool hasForeignId = false; ///< Two parts named different requests.
    bool isDone = false; ///< The stream ended with [DONE], or the whole body was read.
};

/// Puts an answer together from the pieces of a stream of server-sent events.
class StreamReader {
public:
    /// Takes bytes as they arrive. True once the first text has been seen.
    bool feed(std::string_view bytes);
    [[nodiscard]] const Answer& answer() const noexcept { return m_answer; }

private:
    void takeLine(std::string_view line);

    std::string m_rest;
    Answer m_answer;
};

/// Reads the body of a completion that was not streamed. Nothing if it is malformed.
[[nodiscard]] std::optional<Answer> readWhole(const std::string& body);

/// The reason why an answer is not the complete answer to this prompt; empty if it is. Unlabelled tokens must be of one
/// of the versions.
[[nodiscard]] std::optional<std::string> findAnswerFault(const Answer& answer, const std::string& prompt, std::uint64_t tokens, const std::vector<std::uint64_t>& versions);

}
