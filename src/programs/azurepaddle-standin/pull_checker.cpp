#include "pull_checker.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace azurepaddle::standin {

namespace {

    constexpr double scoreTolerance = 1e-9;

}

void PullChecker::expect(const std::string& group, ExpectedGroup expected)
{
    m_expected.insert_or_assign(group, std::move(expected));
}

std::optional<Delivery> PullChecker::accept(const Pull& pull, const nlohmann::json& reply)
{
    if (reply.at("pull").get<std::uint64_t>() != pull.number)
        return std::nullopt;
    if (reply.at("cursor").get<std::uint64_t>() != pull.cursor)
        m_violations.add("cursor", fmt::format("pull {} at {} was answered at {}", pull.number, pull.cursor, reply.at("cursor").dump()));
    Delivery delivery;
    delivery.cursor = pull.cursor;
    std::map<std::string, std::set<std::uint64_t>> indexes;
    for (const nlohmann::json& sample : reply.at("samples")) {
        checkSample(pull, sample, delivery);
        const auto group = sample.at("group").get<std::string>();
        const auto index = sample.at("index").get<std::uint64_t>();
        if (!indexes[group].insert(index).second)
            m_violations.add("twice", fmt::format("sample {}/{} comes twice in pull {}", group, index, pull.number));
    }
    checkGroups(indexes, delivery);
    if (reply.at("next_cursor").get<std::uint64_t>() != delivery.cursor)
        m_violations.add("cursor", fmt::format("next_cursor is {}, the last sample {}", reply.at("next_cursor").dump(), delivery.cursor));
    return delivery;
}

void PullChecker::checkSample(const Pull& pull, const nlohmann::json& sample, Delivery& delivery)
{
    const auto sequence = sample.at("sequence").get<std::uint64_t>();
    const auto groupName = sample.at("group").get<std::string>();
    const std::string name = fmt::format("sample {} ({}/{})", sequence, groupName, sample.at("index").dump());
    if (sequence <= delivery.cursor)
        m_violations.add("order", fmt::format("{} follows {}", name, delivery.cursor));
    delivery.cursor = std::max(delivery.cursor, sequence);
    ++delivery.samples;
    const auto group = m_expected.find(groupName);
    if (group == m_expected.end())
        return m_violations.add("foreign", fmt::format("{} is of a group that was never submitted", name));
    checkContent(name, group->second, sample);
    checkStaleness(name, pull, sample, delivery);
}

void PullChecker::checkContent(const std::string& name, const ExpectedGroup& group, const nlohmann::json& sample)
{
    const auto text = sample.at("text").get<std::string>();
    const auto index = sample.at("index").get<std::uint64_t>();
    const auto spans = spansFromJson(sample.at("spans"));
    if (index >= group.samples)
        m_violations.add("foreign", fmt::format("{} has an index beyond {}", name, group.samples));
    if (text.size() != group.tokens * tokenBytes)
        m_violations.add("incomplete", fmt::format("{} has {} bytes instead of {} tokens", name, text.size(), group.tokens));
    if (const auto fault = findTextFault(group.prompt, index, spans, text))
        m_violations.add("label", fmt::format("{}: {}", name, *fault));
    if (!m_expectsScores)
        return;
    const double score = sample.value("score", -1.0);
    if (std::abs(score - scoreOf(text)) > scoreTolerance)
        m_violations.add("score", fmt::format("{} has score {} instead of {}", name, score, scoreOf(text)));
}

void PullChecker::checkStaleness(const std::string& name, const Pull& pull, const nlohmann::json& sample, Delivery& delivery)
{
    std::uint64_t oldest = pull.version;
    for (const Span& span : spansFromJson(sample.at("spans")))
        oldest = std::min(oldest, span.version);
    delivery.staleness.push_back(pull.version - oldest);
    if (pull.version - oldest > m_stalenessBound)
        m_violations.add("stale", fmt::format("{} has version {}, the trainer {}", name, oldest, pull.version));
}

void PullChecker::checkGroups(const std::map<std::string, std::set<std::uint64_t>>& indexes, Delivery& delivery)
{
    for (const auto& [group, found] : indexes) {
        const auto expected = m_expected.find(group);
        if (expected == m_expected.end())
            continue;
        if (found.size() != expected->second.samples)
            m_violations.add("divided", fmt::format("group {} has {} of {} samples", group, found.size(), expected->second.samples));
        if (!m_received.insert(group).second)
            m_violations.add("twice", fmt::format("group {} was received before", group));
        else
            delivery.groups.push_back(group);
    }
}

}
