#pragma once

#include "text.hpp"
#include "violations.hpp"

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

namespace azurepaddle::standin {

/// One pull as the trainer sent it.
struct Pull {
    std::uint64_t number = 0;
    std::uint64_t cursor = 0;
    std::uint64_t version = 0; ///< The trainer's weight version when it sent the pull.
};

/// What a trainer asked for under one group id.
struct ExpectedGroup {
    std::string prompt;
    std::uint64_t samples = 0;
    std::uint64_t tokens = 0; ///< Of each sample.
};

/// What one reply adds to the trainer.
struct Delivery {
    std::uint64_t cursor = 0;
    std::vector<std::string> groups;
    std::uint64_t samples = 0;
    std::vector<std::uint64_t> staleness; ///< For each sample, the trainer's version less its oldest span's.
};

/// Checks what a trainer receives: exactly once, in order, complete groups, true labels, staleness, scores.
class PullChecker {
public:
    PullChecker(Violations& violations, std::uint64_t stalenessBound, bool expectsScores) noexcept
        : m_violations(violations)
        , m_stalenessBound(stalenessBound)
        , m_expectsScores(expectsScores)
    {
    }

    void expect(const std::string& group, ExpectedGroup expected);
    /// Marks a group as held since an earlier start of the trainer.
    void markReceived(const std::string& group) { m_received.insert(group); }
    [[nodiscard]] bool hasReceived(const std::string& group) const { return m_received.contains(group); }

    /// Checks a reply. Nothing is returned, and nothing changes, if the reply is not to this pull.
    [[nodiscard]] std::optional<Delivery> accept(const Pull& pull, const nlohmann::json& reply);

private:
    void checkSample(const Pull& pull, const nlohmann::json& sample, Delivery& delivery);
    void checkContent(const std::string& name, const ExpectedGroup& group, const nlohmann::json& sample);
    void checkStaleness(const std::string& name, const Pull& pull, const nlohmann::json& sample, Delivery& delivery);
    void checkGroups(const std::map<std::string, std::set<std::uint64_t>>& indexes, Delivery& delivery);

    Violations& m_violations;
    std::uint64_t m_stalenessBound;
    bool m_expectsScores;
    std::map<std::string, ExpectedGroup> m_expected;
    std::set<std::string> m_received;
};

}
