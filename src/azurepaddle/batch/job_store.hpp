#pragma once

#include "azurepaddle/batch/types.hpp"

#include <map>
#include <optional>
#include <unordered_map>

namespace azurepaddle::batch {

/// A job with its results. Results keep their positions.
struct Job {
    JobSpec spec;
    std::vector<ItemResult> results;
    bool isEnded = false;
    std::uint64_t order = 0; ///< Position among all accepted jobs.
    MSGPACK_DEFINE(spec, results, isEnded, order)
};

enum class AcceptOutcome : std::uint8_t {
    Accepted,
    Known, ///< The same job was accepted before.
};

/// The replicated state of all batch jobs. Deterministic.
class JobStore {
public:
    AcceptOutcome accept(JobSpec spec);
    /// Appends the results of items that have none yet, and drops the bodies of these items. Returns how many were
    /// appended. Nothing is appended to an unknown job.
    std::size_t list(const JobId& id, std::vector<ItemResult> results);
    /// Ends a job: its remaining items need no results, and all bodies are dropped. False if the job is unknown.
    bool end(const JobId& id);
    /// Forgets a job.
    void remove(const JobId& id);

    /// Null if unknown. Valid until the next change.
    [[nodiscard]] const Job* find(const JobId& id) const;
    /// Null if the job or item is unknown.
    [[nodiscard]] const ItemSpec* findItem(const JobId& job, const ItemId& item) const;
    [[nodiscard]] bool isListed(const JobId& job, const ItemId& item) const;
    /// The completed result of the item in the latest job that lists one, or null. Valid until the next change.
    [[nodiscard]] const ItemResult* findCompleted(const ItemId& item) const;
    /// All jobs in the order of their acceptance.
    [[nodiscard]] std::vector<const Job*> jobs() const;
    [[nodiscard]] std::size_t size() const noexcept { return m_jobs.size(); }
    /// Bytes of bodies and outputs held.
    [[nodiscard]] std::size_t bytes() const noexcept { return m_bytes; }

    [[nodiscard]] std::vector<Job> snapshot() const;
    void restore(std::vector<Job> jobs);

private:
    struct Entry {
        Job job;
        std::unordered_map<std::string, std::size_t> itemIndex;
        std::unordered_map<std::string, std::size_t> listed; ///< Position of the result by item.
    };

    void insert(Job job);
    void dropBody(ItemSpec& item);

    std::map<JobId, Entry> m_jobs;
    std::uint64_t m_nextOrder = 0;
    std::size_t m_bytes = 0;
};

}

MSGPACK_ADD_ENUM(azurepaddle::batch::AcceptOutcome)
