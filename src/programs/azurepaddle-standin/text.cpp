#include "text.hpp"

#include "azurepaddle/core/digest.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace azurepaddle::standin {

std::string tokenText(const std::string& promptDigest, std::uint64_t index, std::uint64_t version, std::uint64_t position)
{
    const std::string digest = sha256Hex(fmt::format("{}/{}/{}/{}", promptDigest, index, version, position));
    return digest.substr(0, tokenBytes - 1) + " ";
}

std::string spanText(const std::string& promptDigest, std::uint64_t index, const std::vector<Span>& spans, std::uint64_t from, std::uint64_t to)
{
    std::string text;
    for (const Span& span : spans) {
        const std::uint64_t first = std::max(from, span.from);
        const std::uint64_t last = std::min(to, span.from + span.tokens);
        for (std::uint64_t position = first; position < last; ++position)
            text += tokenText(promptDigest, index, span.version, position);
    }
    return text;
}

std::optional<std::string> findTextFault(std::string_view prompt, std::uint64_t index, const std::vector<Span>& spans, std::string_view text)
{
    std::uint64_t covered = 0;
    for (const Span& span : spans) {
        if (span.from != covered)
            return fmt::format("the spans leave a gap or overlap at token {}", covered);
        covered += span.tokens;
    }
    if (text.size() != covered * tokenBytes)
        return fmt::format("the text has {} bytes, the spans {} tokens", text.size(), covered);
    const std::string expected = spanText(sha256Hex(prompt), index, spans, 0, covered);
    const auto difference = std::mismatch(text.begin(), text.end(), expected.begin());
    if (difference.first == text.end())
        return std::nullopt;
    const auto token = static_cast<std::size_t>(difference.first - text.begin()) / tokenBytes;
    return fmt::format("token {} is not of the version that its span names", token);
}

double scoreOf(std::string_view text)
{
    constexpr std::size_t digits = 4;
    return std::stoi(sha256Hex(text).substr(0, digits), nullptr, 16) / 65536.0;
}

nlohmann::json toJson(const std::vector<Span>& spans)
{
    nlohmann::json list = nlohmann::json::array();
    for (const Span& span : spans)
        list.push_back({ { "from", span.from }, { "tokens", span.tokens }, { "weight_version", span.version } });
    return list;
}

std::vector<Span> spansFromJson(const nlohmann::json& value)
{
    std::vector<Span> spans;
    for (const nlohmann::json& entry : value)
        spans.push_back({ entry.at("from").get<std::uint64_t>(), entry.at("tokens").get<std::uint64_t>(), entry.at("weight_version").get<std::uint64_t>() });
    return spans;
}

}
