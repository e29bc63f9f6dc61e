#pragma once

#include <deque>
#include <fstream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace azurepaddle::standin {

/// Counts what really ran. With a file the counts survive a crash of the process, because each line is written before
/// the work starts. Thread-safe.
class RanLog {
public:
    /// Reads the file if it exists. An empty path keeps everything in memory.
    explicit RanLog(const std::string& path);

    /// Adds one to each counter, named by group ("keys") and value, and keeps the entry among the latest.
    void record(nlohmann::json entry, const std::map<std::string, std::string>& counters);

    /// {"requests": [latest entries], "keys": {value: count}, ...}
    [[nodiscard]] nlohmann::json toJson() const;

    [[nodiscard]] std::uint64_t count(const std::string& group, const std::string& value) const;

private:
    void add(const nlohmann::json& line);

    mutable std::mutex m_mutex;
    std::ofstream m_file;
    std::deque<nlohmann::json> m_latest;
    std::map<std::string, std::map<std::string, std::uint64_t>> m_counters;
};

}
