#pragma once

#include "azurepaddle/batch/types.hpp"
#include "azurepaddle/storage/scratch_store.hpp"

#include <map>
#include <optional>
#include <unordered_map>

namespace azurepaddle::batch {

/// The result of one item. Its output is in the scratch store.
struct StoredResult {
    ItemId id;
    ResultState state = ResultState::Completed;
    storage::ScratchRef output;
    std::vector<WeightVersion> versions;
    std::string score;
};

/// A job with its results. Results are appended and keep their positions, so that readers can continue from one.
struct Job {
    JobSpec spec;
    std::vector<StoredResult> results;
    bool isEnded = false;
    std::uint64_t order = 0; ///< Position in the order of acceptance of all jobs.
    std::map<ItemId, ItemFailures> failures; ///< Failure counts of items without a result.
};

/// A job with the outputs of its results, as stored in a snapshot.
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
    AlreadyAccepted, ///< A job with this id is stored already.
};

/// The replicated state of all batch jobs. Deterministic.
class JobStore {
public:
    /// Outputs are kept in files of the folder, or in memory if the path is empty.
    explicit JobStore(std::string scratchFolder = {})
        : m_outputs(std::move(scratchFolder), "outputs")
    {
    }

    AcceptOutcome accept(JobSpec spec);
    /// Appends the results of items that have none yet, and releases the bodies of these items. Returns the number of
    /// appended results. Unknown jobs and items are ignored.
    std::size_t recordResults(const JobId& id, const std::vector<ItemResult>& results);
    /// Records the failure counts of an item, unless it has a result. Counts never decrease.
    void recordFailures(const JobId& id, const ItemFailures& failures);
    /// Ends a job: its remaining items need no results, and all bodies are released. False if the job is unknown.
    bool end(const JobId& id);
    /// Removes a job and releases its outputs.
    void remove(const JobId& id);

    /// Null if unknown. The pointer is valid until the next change.
    [[nodiscard]] const Job* find(const JobId& id) const;
    /// Null if the job or item is unknown.
    [[nodiscard]] const ItemSpec* findItem(const JobId& job, const ItemId& item) const;
    /// Failure counts of an item without a result; zero if none are recorded.
    [[nodiscard]] ItemFailures failuresOf(const JobId& job, const ItemId& item) const;
    /// Whether a job of another workspace has an item with the identifier of one of these. Texts and results are kept by item,
    /// so such a job would get the other's output.
    [[nodiscard]] bool hasItemsOfOthers(const JobSpec& spec) const;
    [[nodiscard]] bool hasResult(const JobId& job, const ItemId& item) const;
    /// The body of an item without a result in a job that has not ended; otherwise null, because the body is released.
    [[nodiscard]] const std::string* bodyOf(const JobId& job, const ItemId& item) const;
    /// Reads the output of a result from the scratch store.
    [[nodiscard]] ItemResult load(const StoredResult& result) const;
    /// The completed result of the item from the latest job that has one. The score is empty if it belongs to a reward
    /// call with another identifier than the given one.
    [[nodiscard]] std::optional<ItemResult> findCompleted(const ItemId& item, const RewardCall& reward) const;
    /// All jobs in the order of acceptance.
    [[nodiscard]] std::vector<const Job*> jobs() const;
    [[nodiscard]] std::size_t size() const noexcept { return m_jobs.size(); }
    /// Total size of the stored bodies and outputs.
    [[nodiscard]] std::size_t bytes() const noexcept { return m_bytes; }

    [[nodiscard]] std::vector<JobSnapshot> snapshot() const;
    void restore(std::vector<JobSnapshot> jobs);

private:
    struct Entry {
        Job job;
        std::unordered_map<std::string, std::size_t> itemIndex;
        std::unordered_map<std::string, std::size_t> resultIndex; ///< Position of the result by item id.
    };

    Entry& insert(JobSpec spec, bool isEnded, std::uint64_t order);
    bool appendResult(Entry& entry, const ItemResult& result);
    void releaseBody(ItemSpec& item);

    std::map<JobId, Entry> m_jobs;
    storage::ScratchStore m_outputs;
    std::uint64_t m_nextOrder = 0;
    std::size_t m_bytes = 0;
};

}

MSGPACK_ADD_ENUM(azurepaddle::batch::AcceptOutcome)
