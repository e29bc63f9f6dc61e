#include "azurepaddle/http1/grammar.hpp"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace azurepaddle::http1 {

namespace {

    constexpr unsigned firstStatus = 100;
    constexpr unsigned firstFinalStatus = 200;
    constexpr unsigned lastStatus = 599;
    constexpr unsigned switchingProtocols = 101;
    constexpr unsigned noContent = 204;

    using ByteSet = std::array<bool, 256>;

    constexpr ByteSet makeTokenBytes()
    {
        ByteSet bytes {};
        constexpr std::string_view letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
        constexpr std::string_view others = "0123456789!#$%&'*+-.^_`|~";
        for (const std::string_view allowed : { letters, others }) {
            for (const char byte : allowed)
                bytes[static_cast<unsigned char>(byte)] = true;
        }
        return bytes;
    }

    constexpr ByteSet makeTextBytes()
    {
        ByteSet bytes {};
        constexpr std::size_t firstPrintable = 0x20;
        constexpr std::size_t deleteByte = 0x7f;
        for (std::size_t byte = firstPrintable; byte < bytes.size(); ++byte)
            bytes[byte] = byte != deleteByte;
        bytes['\t'] = true;
        return bytes;
    }

    constexpr ByteSet tokenBytes = makeTokenBytes();
    constexpr ByteSet textBytes = makeTextBytes();

    bool announcesBody(const Fields& fields)
    {
        const std::string_view length = fields.find("Content-Length");
        return fields.contains("Transfer-Encoding") || length.find_first_not_of('0') != std::string_view::npos;
    }

}

bool isTokenByte(char byte) noexcept
{
    return tokenBytes[static_cast<unsigned char>(byte)];
}

bool isTextByte(char byte) noexcept
{
    return textBytes[static_cast<unsigned char>(byte)];
}

std::size_t tokenPrefix(std::string_view text) noexcept
{
    return static_cast<std::size_t>(std::find_if_not(text.begin(), text.end(), isTokenByte) - text.begin());
}

std::size_t textPrefix(std::string_view text) noexcept
{
    return static_cast<std::size_t>(std::find_if_not(text.begin(), text.end(), isTextByte) - text.begin());
}

bool isToken(std::string_view text) noexcept
{
    return !text.empty() && tokenPrefix(text) == text.size();
}

bool isText(std::string_view text) noexcept
{
    return textPrefix(text) == text.size();
}

bool isStatus(unsigned status) noexcept
{
    return status >= firstStatus && status <= lastStatus;
}

bool isInterim(unsigned status) noexcept
{
    return status >= firstStatus && status < firstFinalStatus;
}

std::optional<std::string> findFault(const Response& response)
{
    if (!isStatus(response.status) || isInterim(response.status))
        return fmt::format("{} is not the status code of a final response", response.status);
    if (!isText(response.reason))
        return "the reason phrase holds a control byte";
    for (const Field& field : response.fields) {
        if (!isToken(field.name))
            return "the name of a field is not a token";
        if (!isText(field.value))
            return fmt::format("the value of {} holds a control byte", field.name);
    }
    return std::nullopt;
}

std::optional<std::string> findFramingFault(unsigned status, const Fields& fields, bool isHttp10)
{
    // No request asks for another protocol, so that what follows could not be read.
    if (status == switchingProtocols)
        return "the response switches to a protocol that was not requested";
    if (isInterim(status) && announcesBody(fields))
        return "an interim response announces a body";
    if (!fields.contains("Transfer-Encoding"))
        return std::nullopt;
    if (isHttp10)
        return "Transfer-Encoding in a response of HTTP/1.0";
    if (fields.contains("Content-Length"))
        return "both Transfer-Encoding and Content-Length";
    // Requests accept no coding but chunked, and any other would reach the caller undecoded.
    const auto codings = fields.elements("Transfer-Encoding");
    const bool isReadable = codings.empty() || (codings.size() == 1 && equalNames(codings.front(), "chunked"));
    return isReadable ? std::nullopt : std::optional<std::string>("Transfer-Encoding is not chunked alone");
}

bool announcesForbiddenBody(unsigned status, const Fields& fields)
{
    return status == noContent && announcesBody(fields);
}

}
