#pragma once

#include "azurepaddle/core/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azurepaddle::config::internal {

/// The form of a text value, or of each element of a list.
enum class Form : unsigned char {
    Plain,
    Name, ///< 1 to 40 letters, digits, dots, underscores or hyphens.
    IpAddress, ///< An IPv4 or IPv6 address in numbers.
    PeerAddress, ///< name=ip:port
    Sha256, ///< 64 lower-case hexadecimal digits.
    Path,
    Secret, ///< At least 16 characters; never printed.
    Choice, ///< One of the choices.
    Bytes, ///< A number of bytes with an optional unit B, KiB, MiB or GiB.
};

/// The values that a key accepts. Bounds are in the unit of the key; those of durations are in seconds.
struct Constraint {
    Form form = Form::Plain;
    double minimum = 0;
    double maximum = 0;
    std::string_view choices; ///< Separated by '|'.
};

using TextList = std::vector<std::string>;

/// These read a value and return the reason if it is rejected. The target is then unchanged.
[[nodiscard]] std::optional<std::string> readValue(std::string_view text, const Constraint& constraint, std::string& target);
[[nodiscard]] std::optional<std::string> readValue(std::string_view text, const Constraint& constraint, std::uint64_t& target);
[[nodiscard]] std::optional<std::string> readValue(std::string_view text, const Constraint& constraint, double& target);
[[nodiscard]] std::optional<std::string> readValue(std::string_view text, const Constraint& constraint, bool& target);
[[nodiscard]] std::optional<std::string> readValue(std::string_view text, const Constraint& constraint, Duration& target);
/// Adds the elements of a text, separated by commas or blanks, to the list.
[[nodiscard]] std::optional<std::string> readValue(std::string_view text, const Constraint& constraint, TextList& target);

/// These format a value such that readValue returns an equal one.
[[nodiscard]] std::string formatValue(const std::string& value, const Constraint& constraint);
[[nodiscard]] std::string formatValue(std::uint64_t value, const Constraint& constraint);
[[nodiscard]] std::string formatValue(double value, const Constraint& constraint);
[[nodiscard]] std::string formatValue(bool value, const Constraint& constraint);
[[nodiscard]] std::string formatValue(Duration value, const Constraint& constraint);
[[nodiscard]] std::string formatValue(const TextList& value, const Constraint& constraint);

/// Whether the text has the form Name.
[[nodiscard]] bool isName(std::string_view text) noexcept;

}
