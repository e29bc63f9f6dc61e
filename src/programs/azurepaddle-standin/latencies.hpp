#pragma once

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace azurepaddle::standin {

/// Times in milliseconds by name. Thread-safe.
class Latencies {
public:
    void add(const std::string& name, double milliseconds);

    /// For each name: count, mean, percentiles, max, and a histogram as [upper bound in ms, count] pairs.
    [[nodiscard]] nlohmann::json toJson() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::vector<double>> m_times;
};

}
