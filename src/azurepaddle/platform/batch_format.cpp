#include "azurepaddle/platform/batch_format.hpp"

#include "azurepaddle/http1/message.hpp"
#include "azurepaddle/platform/json.hpp"
#include "azurepaddle/platform/leading_count.hpp"

#include <algorithm>
#include <charconv>

namespace azurepaddle::platform {

namespace {

    using internal::countOf;
    using internal::Json;
    using internal::leadingCount;
    using internal::listOf;
    using internal::textOf;

    constexpr std::string_view tokenUsageField = "X-Token-Usage"; // Prompt tokens and maximum output tokens, separated by a comma.
    constexpr std::string_view lengthHintField = "X-Length-Hint"; // Estimated output tokens.
    constexpr std::string_view promptPrefixField = "X-Prompt-Prefix"; // Parts of the prompt as ID:TOKENS, separated by commas.
    // Further parts are ignored, so that the field cannot make the leader hold many parts per item.
    constexpr std::size_t maxPromptParts = 32;
    constexpr std::size_t maxPartIdDigits = 64;
    constexpr std::uint64_t maxPartTokens = 100'000'000;
    constexpr std::size_t maxRewardBytes = 1024U * 1024U;

    /// Parses the hexadecimal id of a prompt part. Of ids longer than 64 bits the last 64 are kept, which suffice to tell
    /// digests apart.
    std::optional<std::uint64_t> decodePartId(std::string_view text)
    {
        if (text.empty() || text.size() > maxPartIdDigits || text.find_first_not_of("0123456789abcdefABCDEF") != std::string_view::npos)
            return std::nullopt;
        constexpr std::size_t maxDigits = 16;
        text.remove_prefix(text.size() - std::min(text.size(), maxDigits));
        std::uint64_t id = 0;
        std::from_chars(text.data(), text.data() + text.size(), id, maxDigits);
        return id;
    }

    std::optional<batch::PromptPart> decodePromptPart(std::string_view text)
    {
        const std::size_t colon = text.find(':');
        if (colon == std::string_view::npos)
            return std::nullopt;
        const auto id = decodePartId(text.substr(0, colon));
        const std::string_view digits = text.substr(colon + 1);
        const auto tokens = digits.find_first_not_of("0123456789") == std::string_view::npos ? leadingCount(digits) : std::nullopt;
        if (!id || !tokens || *tokens == 0 || *tokens > maxPartTokens)
            return std::nullopt;
        return batch::PromptPart { *id, static_cast<std::uint32_t>(*tokens) };
    }

    /// Decodes the parts of a prompt. Malformed ones are left out: they only make the prediction of what an endpoint holds
    /// less exact.
    std::vector<batch::PromptPart> decodePrompt(std::string_view list)
    {
        std::vector<batch::PromptPart> parts;
        while (!list.empty() && parts.size() < maxPromptParts) {
            const std::size_t comma = std::min(list.find(','), list.size());
            std::string_view entry = list.substr(0, comma);
            list.remove_prefix(std::min(comma + 1, list.size()));
            constexpr std::string_view blanks = " \t";
            entry.remove_prefix(std::min(entry.find_first_not_of(blanks), entry.size()));
            entry.remove_suffix(entry.size() - std::min(entry.find_last_not_of(blanks) + 1, entry.size()));
            if (const auto part = decodePromptPart(entry))
                parts.push_back(*part);
        }
        return parts;
    }

    /// Sets the token counts and the parts of the prompt from the header fields of an item: for the output its estimate, or its
    /// maximum without one.
    void setTokenCounts(batch::ItemSpec& item)
    {
        for (const batch::ItemField& field : item.fields) {
            if (http1::equalNames(field.name, tokenUsageField)) {
                item.promptTokens = leadingCount(field.value).value_or(0);
                const std::size_t comma = field.value.find(',');
                if (comma != std::string::npos && item.expectedTokens == 0)
                    item.expectedTokens = leadingCount(std::string_view(field.value).substr(comma + 1)).value_or(0);
            } else if (http1::equalNames(field.name, lengthHintField)) {
                item.expectedTokens = leadingCount(field.value).value_or(0);
            } else if (http1::equalNames(field.name, promptPrefixField)) {
                item.prompt = decodePrompt(field.value);
            }
        }
    }

    /// Whether a text contains only characters that are allowed in a request target.
    bool isSafeInRequestLine(std::string_view text)
    {
        return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
    }

    /// Whether a header field contains no characters that would end it early or start another field.
    bool isValidField(const batch::ItemField& field)
    {
        const auto isControl = [](char c) { return (c >= 0 && c < ' ' && c != '\t') || c == '\x7f'; };
        return isSafeInRequestLine(field.name) && field.name.find(':') == std::string::npos && std::none_of(field.value.begin(), field.value.end(), isControl);
    }

    /// Parses the reward call of an item. Empty if it is invalid.
    std::optional<batch::RewardCall> decodeReward(const Json& json)
    {
        const auto id = textOf(json, "id");
        const auto host = textOf(json, "host");
        const auto path = textOf(json, "path");
        const auto encoded = textOf(json, "body");
        const auto body = encoded ? internal::decodeBase64(*encoded) : std::nullopt;
        const bool isAddressed = id && isSafeInRequestLine(*id) && host && isSafeInRequestLine(*host) && path && isSafeInRequestLine(*path) && path->starts_with('/');
        if (!isAddressed || !body || body->size() > maxRewardBytes)
            return std::nullopt;
        return batch::RewardCall { *id, *host, *path, *body };
    }

    std::optional<batch::ItemSpec> decodeItem(const Json& json)
    {
        const auto id = textOf(json, "id");
        const auto path = textOf(json, "path");
        const auto encoded = textOf(json, "body");
        const auto body = encoded ? internal::decodeBase64(*encoded) : std::nullopt;
        const auto headers = json.find("headers");
        if (!id || !isSafeInRequestLine(*id) || !path || !isSafeInRequestLine(*path) || !body || headers == json.end() || !headers->is_object())
            return std::nullopt;
        batch::ItemSpec item;
        item.id = batch::ItemId(*id);
        item.path = *path;
        item.body = *body;
        item.group = GroupId(textOf(json, "group").value_or(*id));
        for (const auto& [name, value] : headers->items()) {
            if (!value.is_string())
                return std::nullopt;
            item.fields.push_back({ name, value.get<std::string>() });
            if (!isValidField(item.fields.back()))
                return std::nullopt;
        }
        setTokenCounts(item);
        if (const auto scorer = json.find("scorer"); scorer != json.end() && !scorer->is_null()) {
            auto reward = decodeReward(*scorer);
            if (!reward)
                return std::nullopt;
            item.reward = std::move(*reward);
        }
        return item;
    }

    std::uint64_t toMs(Duration duration)
    {
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
    }

}

tl::expected<batch::JobSpec, std::string> decodeJob(const batch::JobId& id, const gateway::Route& route, const WorkspaceName& workspace, std::string_view body)
{
    const auto json = internal::parseJson(body);
    const Json* requests = json ? listOf(*json, "requests") : nullptr;
    if (!requests || requests->empty())
        return tl::unexpected(std::string("the batch job is not valid JSON or lacks requests"));
    batch::JobSpec spec;
    spec.id = id;
    spec.host = route.host;
    spec.model = batch::ModelName(textOf(*json, "model").value_or(std::string()));
    spec.step = countOf(*json, "step").value_or(0);
    spec.minVersion = countOf(*json, "min-version").value_or(0);
    spec.groupCount = static_cast<std::uint32_t>(countOf(*json, "group-count").value_or(0));
    spec.maxAttempts = route.maxAttempts;
    spec.dueMs = toMs(route.due);
    spec.retentionMs = toMs(route.retention);
    spec.isSingleVersion = route.isSingleVersion;
    spec.workspace = workspace;
    for (const Json& request : *requests) {
        auto item = decodeItem(request);
        if (!item)
            return tl::unexpected(std::string("an item of the batch job is invalid"));
        spec.items.push_back(std::move(*item));
    }
    return spec;
}

std::string encodeResults(const registry::ReadResultsReply& reply, std::uint64_t after)
{
    Json results = Json::array();
    for (const batch::ItemResult& result : reply.results) {
        const bool isCompleted = result.state == batch::ResultState::Completed;
        Json entry { { "id", result.id.value() }, { "state", isCompleted ? "completed" : "dead" }, { "output", result.output }, { "versions", result.versions } };
        if (!result.score.empty())
            entry["score"] = result.score;
        results.push_back(std::move(entry));
    }
    const Json json { { "total", reply.total }, { "next-token", after + reply.results.size() }, { "results", std::move(results) } };
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}
