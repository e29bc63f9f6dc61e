#include "ran_log.hpp"

namespace azurepaddle::standin {

namespace {

    constexpr std::size_t maxLatest = 20000;

}

RanLog::RanLog(const std::string& path)
{
    if (path.empty())
        return;
    std::ifstream old(path);
    std::string line;
    while (std::getline(old, line)) {
        const nlohmann::json value = nlohmann::json::parse(line, nullptr, false);
        if (value.is_object())
            add(value);
    }
    m_file.open(path, std::ios::app);
    if (!m_file)
        throw std::runtime_error("cannot write " + path);
}

void RanLog::record(nlohmann::json entry, const std::map<std::string, std::string>& counters)
{
    const nlohmann::json line { { "entry", std::move(entry) }, { "counters", counters } };
    const std::scoped_lock lock(m_mutex);
    add(line);
    if (m_file.is_open())
        m_file << line.dump() << std::endl;
}

void RanLog::add(const nlohmann::json& line)
{
    for (const auto& [group, value] : line.at("counters").items())
        ++m_counters[group][value.get<std::string>()];
    m_latest.push_back(line.at("entry"));
    if (m_latest.size() > maxLatest)
        m_latest.pop_front();
}

nlohmann::json RanLog::toJson() const
{
    const std::scoped_lock lock(m_mutex);
    nlohmann::json result = m_counters;
    if (result.is_null())
        result = nlohmann::json::object();
    result["requests"] = m_latest;
    return result;
}

std::uint64_t RanLog::count(const std::string& group, const std::string& value) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_counters.find(group);
    if (found == m_counters.end())
        return 0;
    const auto counter = found->second.find(value);
    return counter == found->second.end() ? 0 : counter->second;
}

}
