#include "azurepaddle/http1/message.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <fmt/format.h>
#include <utility>

namespace azurepaddle::http1 {

namespace {

    char lower(char letter) noexcept
    {
        return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
    }

    std::string_view trim(std::string_view text) noexcept
    {
        constexpr std::string_view blank = " \t";
        const std::size_t first = text.find_first_not_of(blank);
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(blank) - first + 1);
    }

    template <typename Visit>
    void forEachToken(std::string_view list, Visit visit)
    {
        while (!list.empty()) {
            const std::size_t comma = list.find(',');
            visit(trim(list.substr(0, comma)));
            list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
        }
    }

    constexpr std::array<std::string_view, 9> hopByHopNames { "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect" };

    std::string decodePercent(std::string_view text)
    {
        std::string decoded;
        for (std::size_t at = 0; at < text.size(); ++at) {
            unsigned code = 0;
            const bool isEscape = text[at] == '%' && at + 2 < text.size()
                && std::from_chars(text.data() + at + 1, text.data() + at + 3, code, 16).ptr == text.data() + at + 3;
            decoded.push_back(isEscape ? static_cast<char>(code) : text[at] == '+' ? ' '
                                                                                   : text[at]);
            at += isEscape ? 2 : 0;
        }
        return decoded;
    }

}

bool equalNames(std::string_view left, std::string_view right) noexcept
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) { return lower(a) == lower(b); });
}

std::string_view Fields::find(std::string_view name) const noexcept
{
    const auto found = std::find_if(m_fields.begin(), m_fields.end(), [&](const Field& field) { return equalNames(field.name, name); });
    return found == m_fields.end() ? std::string_view() : std::string_view(found->value);
}

bool Fields::contains(std::string_view name) const noexcept
{
    return std::any_of(m_fields.begin(), m_fields.end(), [&](const Field& field) { return equalNames(field.name, name); });
}

std::vector<std::string_view> Fields::elements(std::string_view name) const
{
    std::vector<std::string_view> elements;
    for (const Field& field : m_fields) {
        if (!equalNames(field.name, name))
            continue;
        forEachToken(field.value, [&](std::string_view listed) {
            if (!listed.empty())
                elements.push_back(listed);
        });
    }
    return elements;
}

bool Fields::hasToken(std::string_view name, std::string_view token) const
{
    const auto listed = elements(name);
    return std::any_of(listed.begin(), listed.end(), [&](std::string_view element) { return equalNames(element, token); });
}

void Fields::set(std::string name, std::string value)
{
    erase(name);
    add(std::move(name), std::move(value));
}

void Fields::erase(std::string_view name)
{
    std::erase_if(m_fields, [&](const Field& field) { return equalNames(field.name, name); });
}

void Fields::eraseHopByHop()
{
    const auto listed = elements("connection");
    const std::vector<std::string> named(listed.begin(), listed.end());
    std::erase_if(m_fields, [&](const Field& field) {
        const auto matches = [&](std::string_view name) { return equalNames(field.name, name); };
        return std::any_of(hopByHopNames.begin(), hopByHopNames.end(), matches) || std::any_of(named.begin(), named.end(), matches);
    });
}

std::string_view pathOf(std::string_view target) noexcept
{
    return target.substr(0, target.find('?'));
}

std::optional<std::string> queryParameter(std::string_view target, std::string_view name)
{
    const std::size_t mark = target.find('?');
    if (mark == std::string_view::npos)
        return std::nullopt;
    std::string_view query = target.substr(mark + 1);
    while (!query.empty()) {
        const std::size_t end = query.find('&');
        const std::string_view pair = query.substr(0, end);
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return decodePercent(equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1));
        query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
    }
    return std::nullopt;
}

std::string serializeHead(const Request& request, std::size_t bodyBytes)
{
    std::string text = fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
    for (const Field& field : request.fields)
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    const bool hasBody = bodyBytes > 0 || request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
    if (hasBody)
        text += fmt::format("Content-Length: {}\r\n", bodyBytes);
    return text.append("\r\n");
}

std::string serialize(const Request& request)
{
    return serializeHead(request, request.body.size()).append(request.body);
}

Request withoutBody(const Request& request)
{
    return { request.method, request.target, request.fields, {} };
}

std::string serializeHead(const Response& response, Framing framing)
{
    const std::string_view reason = response.reason.empty() ? reasonPhrase(response.status) : std::string_view(response.reason);
    std::string text = fmt::format("HTTP/1.1 {} {}\r\n", response.status, reason);
    for (const Field& field : response.fields)
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    if (framing == Framing::Length)
        text += fmt::format("Content-Length: {}\r\n", response.body.size());
    else if (framing == Framing::Chunked)
        text += "Transfer-Encoding: chunked\r\n";
    return text.append("\r\n");
}

std::string serializeChunk(std::string_view bytes)
{
    if (bytes.empty())
        return "0\r\n\r\n";
    return fmt::format("{:x}\r\n", bytes.size()).append(bytes).append("\r\n");
}

std::string_view reasonPhrase(unsigned status) noexcept
{
    constexpr std::array<std::pair<unsigned, std::string_view>, 18> phrases { {
        { 100, "Continue" },
        { 200, "OK" },
        { 202, "Accepted" },
        { 307, "Temporary Redirect" },
        { 400, "Bad Request" },
        { 404, "Not Found" },
        { 405, "Method Not Allowed" },
        { 408, "Request Timeout" },
        { 409, "Conflict" },
        { 413, "Content Too Large" },
        { 421, "Misdirected Request" },
        { 422, "Unprocessable Content" },
        { 429, "Too Many Requests" },
        { 431, "Request Header Fields Too Large" },
        { 500, "Internal Server Error" },
        { 502, "Bad Gateway" },
        { 503, "Service Unavailable" },
        { 504, "Gateway Timeout" },
    } };
    const auto found = std::find_if(phrases.begin(), phrases.end(), [status](const auto& entry) { return entry.first == status; });
    return found == phrases.end() ? std::string_view("Status") : found->second;
}

}
