#pragma once

#include "azurepaddle/control/types.hpp"

#include <array>
#include <deque>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace azurepaddle::control {

/// Submits a configuration that the receiving instance has validated.
struct SubmitConfiguration {
    static constexpr std::uint32_t tag = 1;
    std::uint64_t number = 0;
    std::string text;

    bool operator==(const SubmitConfiguration&) const = default;
    MSGPACK_DEFINE(number, text)
};

enum class ConfigurationStatus : unsigned char {
    Accepted,
    AlreadyAccepted, ///< The number is in force with the same content.
    Superseded, ///< Accepted under this number earlier; a higher number is in force.
    Conflict, ///< The number is in force with different content.
    Stale, ///< The number is lower than the one in force and was not accepted with this content.
};

/// Result of a submission, with the number and digest in force after it.
struct ConfigurationReply {
    static constexpr std::uint32_t tag = 1;
    ConfigurationStatus status = ConfigurationStatus::Stale;
    std::uint64_t number = 0;
    std::string digest;

    bool operator==(const ConfigurationReply&) const = default;
    MSGPACK_DEFINE(status, number, digest)
};

/// Replaces a part of the previous text.
struct ConfigurationEdit {
    std::uint64_t number = 0; ///< Number in force after the edit.
    std::uint64_t offset = 0; ///< First byte replaced.
    std::uint64_t removed = 0; ///< Bytes replaced.
    std::string inserted;

    bool operator==(const ConfigurationEdit&) const = default;
    MSGPACK_DEFINE(number, offset, removed, inserted)
};

/// Brings an instance to the configuration in force: edits to the text that it holds, or the whole text.
struct ConfigurationUpdate {
    std::uint64_t number = 0; ///< Number in force. 0 if there is no configuration yet.
    std::string digest; ///< Digest of the text in force.
    bool isFull = false;
    std::string text; ///< Whole text when isFull.
    std::vector<ConfigurationEdit> edits; ///< Ordered by number; used unless isFull.

    bool operator==(const ConfigurationUpdate&) const = default;
    MSGPACK_DEFINE(number, digest, isFull, text, edits)
};

/// Applies an update to the current text. Returns the new text, or an error if the update does not match the current
/// one.
[[nodiscard]] tl::expected<std::string, ControlError> applyUpdate(std::string_view currentText, const ConfigurationUpdate& update);

/// An accepted configuration number with the SHA-256 digest of its text.
struct ConfigurationEntry {
    std::uint64_t number = 0;
    std::array<char, 32> digest {};

    bool operator==(const ConfigurationEntry&) const = default;
    MSGPACK_DEFINE(number, digest)
};

/// The operators' configuration: the newest text, the numbers and digests accepted before it, and recent edits.
class Configurations {
public:
    /// Largest number of history entries. A number that was dropped from the history is reported as stale.
    static constexpr std::size_t maxHistory = 1'000'000;
    /// Largest number of edits kept for instances with an older configuration.
    static constexpr std::size_t maxEdits = 128;

    [[nodiscard]] ConfigurationReply submit(const SubmitConfiguration& submission);

    /// The update for an instance that holds the given number. It has no edits if the instance is up to date.
    [[nodiscard]] ConfigurationUpdate updateSince(std::uint64_t instanceNumber) const;

    /// Number in force, 0 before the first submission.
    [[nodiscard]] std::uint64_t number() const noexcept;
    [[nodiscard]] const std::string& text() const noexcept { return m_text; }
    /// Digest in force in hexadecimal digits, empty before the first submission.
    [[nodiscard]] std::string digest() const;
    /// In order of number, the one in force last.
    [[nodiscard]] const std::deque<ConfigurationEntry>& history() const noexcept { return m_history; }

    bool operator==(const Configurations&) const = default;
    MSGPACK_DEFINE(m_text, m_history, m_edits)

private:
    [[nodiscard]] ConfigurationStatus classify(std::uint64_t submittedNumber, const std::array<char, 32>& submittedDigest) const;
    void install(const SubmitConfiguration& submission, const std::array<char, 32>& submittedDigest);

    std::string m_text;
    std::deque<ConfigurationEntry> m_history;
    std::deque<ConfigurationEdit> m_edits;
};

}

MSGPACK_ADD_ENUM(azurepaddle::control::ConfigurationStatus)
