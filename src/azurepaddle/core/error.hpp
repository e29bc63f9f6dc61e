#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>

namespace azurepaddle {

/// Whether a request without a regular answer has run.
enum class Outcome : unsigned char {
    NotRun, ///< No byte of it reached an endpoint, or the endpoint attests that it did not run.
    Unknown, ///< It may have run.
    Failed, ///< It ran and failed.
};

/// The name of an outcome as it appears in answers to callers.
[[nodiscard]] constexpr std::string_view outcomeName(Outcome outcome) noexcept
{
    switch (outcome) {
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    case Outcome::Failed:
        return "failed";
    }
    return "unknown";
}

/// The error of one layer: an enumeration of that layer and a readable message. A layer translates the errors of
/// the layers below into its own.
template <typename Code>
class LayerError {
public:
    LayerError(Code code, std::string message) noexcept
        : m_code(code)
        , m_message(std::move(message))
    {
    }

    [[nodiscard]] Code code() const noexcept { return m_code; }
    [[nodiscard]] const std::string& message() const noexcept { return m_message; }

    friend bool operator==(const LayerError&, const LayerError&) = default;

private:
    Code m_code;
    std::string m_message;
};

/// Builds the error value of a tl::expected.
template <typename Code>
[[nodiscard]] tl::unexpected<LayerError<Code>> makeError(Code code, std::string message)
{
    return tl::unexpected<LayerError<Code>>(LayerError<Code>(code, std::move(message)));
}

}
