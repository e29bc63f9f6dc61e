#include "azurepaddle/control/configurations.hpp"

#include "azurepaddle/core/digest.hpp"

#include <algorithm>

namespace azurepaddle::control {

namespace {

    using Digest = std::array<char, 32>;

    unsigned hexDigitValue(char digit) noexcept
    {
        return static_cast<unsigned>(digit <= '9' ? digit - '0' : digit - 'a' + 10);
    }

    Digest computeDigest(std::string_view text)
    {
        const std::string hex = sha256Hex(text);
        Digest digest {};
        for (std::size_t i = 0; i < digest.size(); ++i)
            digest[i] = static_cast<char>((hexDigitValue(hex[2 * i]) << 4U) | hexDigitValue(hex[2 * i + 1]));
        return digest;
    }

    std::string formatHex(const Digest& digest)
    {
        std::string text;
        for (const char byte : digest)
            text += fmt::format("{:02x}", static_cast<unsigned>(static_cast<unsigned char>(byte)));
        return text;
    }

    ConfigurationEdit makeEdit(std::uint64_t number, std::string_view before, std::string_view after)
    {
        const std::size_t shorterSize = std::min(before.size(), after.size());
        std::size_t prefix = 0;
        while (prefix < shorterSize && before[prefix] == after[prefix])
            ++prefix;
        std::size_t suffix = 0;
        while (suffix < shorterSize - prefix && before[before.size() - 1 - suffix] == after[after.size() - 1 - suffix])
            ++suffix;
        return { number, prefix, before.size() - prefix - suffix, std::string(after.substr(prefix, after.size() - prefix - suffix)) };
    }

    auto findEntry(const std::deque<ConfigurationEntry>& history, std::uint64_t number)
    {
        const auto found = std::lower_bound(history.begin(), history.end(), number,
            [](const ConfigurationEntry& entry, std::uint64_t wantedNumber) { return entry.number < wantedNumber; });
        return found != history.end() && found->number == number ? found : history.end();
    }

}

tl::expected<std::string, ControlError> applyUpdate(std::string_view currentText, const ConfigurationUpdate& update)
{
    std::string text(update.isFull ? std::string_view(update.text) : currentText);
    for (const ConfigurationEdit& edit : update.edits) {
        if (edit.offset > text.size() || edit.removed > text.size() - edit.offset)
            return makeError(ControlErrorCode::Malformed, fmt::format("edit for configuration {} exceeds the length of the text", edit.number));
        text.replace(edit.offset, edit.removed, edit.inserted);
    }
    if (update.number != 0 && sha256Hex(text) != update.digest)
        return makeError(ControlErrorCode::Malformed, fmt::format("text of configuration {} does not match its digest after the update", update.number));
    return text;
}

ConfigurationReply Configurations::submit(const SubmitConfiguration& submission)
{
    const Digest submittedDigest = computeDigest(submission.text);
    const ConfigurationStatus status = classify(submission.number, submittedDigest);
    if (status == ConfigurationStatus::Accepted)
        install(submission, submittedDigest);
    return { status, number(), digest() };
}

ConfigurationStatus Configurations::classify(std::uint64_t submittedNumber, const Digest& submittedDigest) const
{
    if (submittedNumber > number())
        return ConfigurationStatus::Accepted;
    const auto found = findEntry(m_history, submittedNumber);
    const bool hasSameText = found != m_history.end() && found->digest == submittedDigest;
    if (submittedNumber == number() && submittedNumber != 0)
        return hasSameText ? ConfigurationStatus::AlreadyAccepted : ConfigurationStatus::Conflict;
    return hasSameText ? ConfigurationStatus::Superseded : ConfigurationStatus::Stale;
}

void Configurations::install(const SubmitConfiguration& submission, const Digest& submittedDigest)
{
    if (!m_history.empty())
        m_edits.push_back(makeEdit(submission.number, m_text, submission.text));
    if (m_edits.size() > maxEdits)
        m_edits.pop_front();
    m_text = submission.text;
    m_history.push_back({ submission.number, submittedDigest });
    if (m_history.size() > maxHistory)
        m_history.pop_front();
}

ConfigurationUpdate Configurations::updateSince(std::uint64_t instanceNumber) const
{
    ConfigurationUpdate update { number(), digest(), false, {}, {} };
    if (instanceNumber == number())
        return update;
    const auto instanceEntry = findEntry(m_history, instanceNumber);
    std::size_t editCount = 0;
    std::size_t insertedBytes = 0;
    for (auto edit = m_edits.rbegin(); edit != m_edits.rend() && edit->number > instanceNumber; ++edit) {
        ++editCount;
        insertedBytes += edit->inserted.size();
    }
    const auto numbersBehind = static_cast<std::size_t>(instanceEntry == m_history.end() ? 0 : m_history.end() - instanceEntry - 1);
    if (numbersBehind == 0 || editCount != numbersBehind || insertedBytes > m_text.size()) {
        update.isFull = true;
        update.text = m_text;
        return update;
    }
    update.edits.assign(m_edits.end() - static_cast<std::ptrdiff_t>(editCount), m_edits.end());
    return update;
}

std::uint64_t Configurations::number() const noexcept
{
    return m_history.empty() ? 0 : m_history.back().number;
}

std::string Configurations::digest() const
{
    return m_history.empty() ? std::string() : formatHex(m_history.back().digest);
}

}
