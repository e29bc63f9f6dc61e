#include "azurepaddle/control/configurations.hpp"

#include "azurepaddle/core/digest.hpp"

#include <algorithm>

namespace azurepaddle::control {

namespace {

    using Digest = std::array<char, 32>;

    unsigned nibble(char digit) noexcept
    {
        return static_cast<unsigned>(digit <= '9' ? digit - '0' : digit - 'a' + 10);
    }

    Digest digestOf(std::string_view text)
    {
        const std::string hex = sha256Hex(text);
        Digest digest {};
        for (std::size_t i = 0; i < digest.size(); ++i)
            digest[i] = static_cast<char>((nibble(hex[2 * i]) << 4U) | nibble(hex[2 * i + 1]));
        return digest;
    }

    std::string hexOf(const Digest& digest)
    {
        std::string text;
        for (const char byte : digest)
            text += fmt::format("{:02x}", static_cast<unsigned>(static_cast<unsigned char>(byte)));
        return text;
    }

    ConfigurationEdit makeEdit(std::uint64_t number, std::string_view before, std::string_view after)
    {
        const std::size_t shorter = std::min(before.size(), after.size());
        std::size_t prefix = 0;
        while (prefix < shorter && before[prefix] == after[prefix])
            ++prefix;
        std::size_t suffix = 0;
        while (suffix < shorter - prefix && before[before.size() - 1 - suffix] == after[after.size() - 1 - suffix])
            ++suffix;
        return { number, prefix, before.size() - prefix - suffix, std::string(after.substr(prefix, after.size() - prefix - suffix)) };
    }

    auto findNumber(const std::deque<ConfigurationEntry>& history, std::uint64_t number)
    {
        const auto found = std::lower_bound(history.begin(), history.end(), number,
            [](const ConfigurationEntry& entry, std::uint64_t wanted) { return entry.number < wanted; });
        return found != history.end() && found->number == number ? found : history.end();
    }

}

tl::expected<std::string, ControlError> applyUpdate(std::string_view held, const ConfigurationUpdate& update)
{
    std::string text(update.isFull ? std::string_view(update.text) : held);
    for (const ConfigurationEdit& edit : update.edits) {
        if (edit.offset > text.size() || edit.removed > text.size() - edit.offset)
            return makeError(ControlErrorCode::Malformed, fmt::format("edit for configuration {} lies beyond the text", edit.number));
        text.replace(edit.offset, edit.removed, edit.inserted);
    }
    if (update.number != 0 && sha256Hex(text) != update.digest)
        return makeError(ControlErrorCode::Malformed, fmt::format("digest of configuration {} differs after the update", update.number));
    return text;
}

ConfigurationReply Configurations::submit(const SubmitConfiguration& submission)
{
    const Digest submitted = digestOf(submission.text);
    const ConfigurationStatus status = classify(submission.number, submitted);
    if (status == ConfigurationStatus::Accepted)
        install(submission, submitted);
    return { status, number(), digest() };
}

ConfigurationStatus Configurations::classify(std::uint64_t submitted, const Digest& submittedDigest) const
{
    if (submitted > number())
        return ConfigurationStatus::Accepted;
    const auto found = findNumber(m_history, submitted);
    const bool isSame = found != m_history.end() && found->digest == submittedDigest;
    if (submitted == number() && submitted != 0)
        return isSame ? ConfigurationStatus::AlreadyAccepted : ConfigurationStatus::Conflict;
    return isSame ? ConfigurationStatus::Superseded : ConfigurationStatus::Stale;
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

ConfigurationUpdate Configurations::updateSince(std::uint64_t held) const
{
    ConfigurationUpdate update { number(), digest(), false, {}, {} };
    if (held == number())
        return update;
    const auto known = findNumber(m_history, held);
    std::size_t edits = 0;
    std::size_t bytes = 0;
    for (auto edit = m_edits.rbegin(); edit != m_edits.rend() && edit->number > held; ++edit) {
        ++edits;
        bytes += edit->inserted.size();
    }
    const auto missing = static_cast<std::size_t>(known == m_history.end() ? 0 : m_history.end() - known - 1);
    if (missing == 0 || edits != missing || bytes > m_text.size()) {
        update.isFull = true;
        update.text = m_text;
        return update;
    }
    update.edits.assign(m_edits.end() - static_cast<std::ptrdiff_t>(edits), m_edits.end());
    return update;
}

std::uint64_t Configurations::number() const noexcept
{
    return m_history.empty() ? 0 : m_history.back().number;
}

std::string Configurations::digest() const
{
    return m_history.empty() ? std::string() : hexOf(m_history.back().digest);
}

}
