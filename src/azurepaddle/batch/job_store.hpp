#pragma once

#include "azurepaddle/batch/types.hpp"
#include "azurepaddle/storage/scratch_store.hpp"

#include <map>
#include <optional>
#include <unordered_map>

namespace azurepaddle::batch {

/// The outcome of one item, with its output kept elsewhere.
struct StoredResult {
    ItemId id;
    ResultState state = ResultState::Completed;
    storage::ScratchRef output;
    std::vector<WeightVersion> versions;
    std::string score;
};

/// A job with its results. Results keep their positions.
struct Job {
    JobSpec spec;
    std::vector<StoredResult> results;
    bool isEnded = false;
    std::uint64_t order = 0; ///< Position among all accepted jobs.
    std::map<ItemId, ItemFailures> failures; ///< Of items without a result that failed.
};

/// A job with all of its outputs, for a snapshot.
struct JobSnapshot {
    JobSpec spec;
    std::vector<ItemResult> results;
    bool isEnded = false;
    std::uint64_t order = 0;
    std::vector<ItemFailures> failures;
    MSGPACK_DEFINE(spec, results, isEnded, order, failures)
};

enum class AcceptOutcome : std::uint8_t {
    Accepted,
    Known, ///< The same job was accepted before.
};

/// The replicated state of all batch jobs. Deterministic.
class JobStore {
public:
    /// Outputs are kept in files of the folder, or in memory if it is empty.
    explicit JobStore(std::string scratchFolder = {})
        : m_outputs(std::move(scratchFolder), "outputs")
    {
    }

    AcceptOutcome accept(JobSpec spec);
    /// Appends the results of items that have none yet, and drops the bodies of these items. Returns how many were
    /// appended. Nothing is appended to an unknown job.
    std::size_t list(const JobId& id, const std::vector<ItemResult>& results);
    /// Notes how often an item of the job failed so far, unless it is listed.
    void noteFailures(const JobId& id, const ItemFailures& failures);
    /// Ends a job: its remaining items need no results, and all bodies are dropped. False if the job is unknown.
    bool end(const JobId& id);
    /// Forgets a job.
    void remove(const JobId& id);

    /// Null if unknown. Valid until the next change.
    [[nodiscard]] const Job* find(const JobId& id) const;
    /// Null if the job or item is unknown.
    [[nodiscard]] const ItemSpec* findItem(const JobId& job, const ItemId& item) const;
    /// How often an item without a result failed so far.
    [[nodiscard]] ItemFailures failuresOf(const JobId& job, const ItemId& item) const;
    [[nodiscard]] bool hasResult(const JobId& job, const ItemId& item) const;
    /// The body of an item that is not listed yet and whose job is open; null otherwise: then it is not kept.
    [[nodiscard]] const std::string* bodyOf(const JobId& job, const ItemId& item) const;
    /// A result with its output.
    [[nodiscard]] ItemResult load(const StoredResult& result) const;
    /// The completed result of the item in the latest job that lists one. Its score counts only for a reward call with
    /// the identifier of this one; otherwise it is empty.
    [[nodiscard]] std::optional<ItemResult> findCompleted(const ItemId& item, const RewardCall& reward) const;
    /// All jobs in the order of their acceptance.
    [[nodiscard]] std::vector<const Job*> jobs() const;
    [[nodiscard]] std::size_t size() const noexcept { return m_jobs.size(); }
    /// Bytes of bodies and outputs held.
    [[nodiscard]] std::size_t bytes() const noexcept { return m_bytes; }

    [[nodiscard]] std::vector<JobSnapshot> snapshot() const;
    void restore(std::vector<JobSnapshot> jobs);

private:
    struct Entry {
        Job job;
        std::unordered_map<std::string, std::size_t> itemIndex;
        std::unordered_map<std::string, std::size_t> listed; ///< Position of the result by item.
    };

    Entry& insert(JobSpec spec, bool isEnded, std::uint64_t order);
    bool append(Entry& entry, const ItemResult& result);
    void dropBody(ItemSpec& item);

    std::map<JobId, Entry> m_jobs;
    storage::ScratchStore m_outputs;
    std::uint64_t m_nextOrder = 0;
    std::size_t m_bytes = 0;
};

}

MSGPACK_ADD_ENUM(azurepaddle::batch::AcceptOutcome)
