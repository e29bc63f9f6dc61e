#pragma once

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace azurepaddle::standin {

/// Broken promises of the service, counted by kind; the first few with details. Thread-safe.
class Violations {
public:
    void add(const std::string& kind, const std::string& detail);
    [[nodiscard]] std::uint64_t count(const std::string& kind) const;
    [[nodiscard]] std::uint64_t total() const;
    /// {"total": N, "kinds": {kind: count}, "details": [text]}
    [[nodiscard]] nlohmann::json toJson() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_kinds;
    std::vector<std::string> m_details;
    std::uint64_t m_total = 0;
};

}
