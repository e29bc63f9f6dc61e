#include "answer_checker.hpp"

#include "azurepaddle/core/digest.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace azurepaddle::standin {

namespace {

    using Json = nlohmann::json;

    constexpr std::string_view dataPrefix = "data: ";

    std::string textOf(const Json& value)
    {
        if (!value.contains("choices"))
            return value.value("text", std::string());
        const Json& choice = value.at("choices").at(0);
        if (choice.contains("delta"))
            return choice.at("delta").value("content", std::string());
        if (choice.contains("message"))
            return choice.at("message").value("content", std::string());
        return choice.value("text", std::string());
    }

    std::string finishReasonOf(const Json& value)
    {
        const Json& holder = value.contains("choices") ? value.at("choices").at(0) : value;
        const auto found = holder.find("finish_reason");
        return found != holder.end() && found->is_string() ? found->get<std::string>() : std::string();
    }

    std::string idOf(const Json& value)
    {
        return value.value("request_id", value.value("id", std::string()));
    }

    void takeEvent(const Json& event, Answer& answer)
    {
        if (event.contains("outcome")) {
            answer.outcome = event.at("outcome").get<std::string>();
            return;
        }
        const std::string id = idOf(event);
        if (answer.requestId.empty())
            answer.requestId = id;
        answer.hasForeignId = answer.hasForeignId || id != answer.requestId;
        const std::string text = textOf(event);
        const std::uint64_t tokens = text.size() / tokenBytes;
        if (tokens > 0 && event.contains("weight_version"))
            answer.spans.push_back({ answer.text.size() / tokenBytes, tokens, event.at("weight_version").get<std::uint64_t>() });
        answer.text += text;
        const std::string reason = finishReasonOf(event);
        if (!reason.empty())
            answer.finishReason = reason;
    }

    bool isOfAnyVersion(const Answer& answer, const std::string& prompt, const std::vector<std::uint64_t>& versions)
    {
        const std::string digest = sha256Hex(prompt);
        for (std::size_t at = 0; at * tokenBytes < answer.text.size(); ++at) {
            const std::string_view token = std::string_view(answer.text).substr(at * tokenBytes, tokenBytes);
            if (std::none_of(versions.begin(), versions.end(), [&](std::uint64_t version) { return tokenText(digest, 0, version, at) == token; }))
                return false;
        }
        return true;
    }

}

bool StreamReader::feed(std::string_view bytes)
{
    m_rest += bytes;
    std::size_t from = 0;
    for (std::size_t end = m_rest.find('\n'); end != std::string::npos; end = m_rest.find('\n', from)) {
        takeLine(std::string_view(m_rest).substr(from, end - from));
        from = end + 1;
    }
    m_rest.erase(0, from);
    return !m_answer.text.empty();
}

void StreamReader::takeLine(std::string_view line)
{
    if (!line.starts_with(dataPrefix))
        return;
    line.remove_prefix(dataPrefix.size());
    if (line == "[DONE]") {
        m_answer.isDone = true;
        return;
    }
    const Json event = Json::parse(line, nullptr, false);
    if (event.is_object())
        takeEvent(event, m_answer);
}

std::optional<Answer> readWhole(const std::string& body)
{
    const Json value = Json::parse(body, nullptr, false);
    if (!value.is_object() || !value.contains("choices"))
        return std::nullopt;
    try {
        Answer answer;
        takeEvent(value, answer);
        if (value.contains("spans"))
            answer.spans = spansFromJson(value.at("spans"));
        answer.isDone = true;
        return answer;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

std::optional<std::string> findAnswerFault(const Answer& answer, const std::string& prompt, std::uint64_t tokens, const std::vector<std::uint64_t>& versions)
{
    if (answer.hasForeignId)
        return "parts of different requests are mixed";
    if (!answer.isDone || answer.finishReason != "length")
        return fmt::format("the answer ends after {} tokens with finish reason \"{}\"", answer.text.size() / tokenBytes, answer.finishReason);
    if (answer.text.size() != tokens * tokenBytes)
        return fmt::format("the text has {} bytes instead of {} tokens", answer.text.size(), tokens);
    if (!answer.spans.empty())
        return findTextFault(prompt, 0, answer.spans, answer.text);
    return isOfAnyVersion(answer, prompt, versions) ? std::nullopt : std::optional<std::string>("the text is not that of this prompt and the versions named");
}

}
