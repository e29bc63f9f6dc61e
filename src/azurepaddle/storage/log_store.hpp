#pragma once

#include "azurepaddle/core/invariant.hpp"
#include "azurepaddle/storage/file_system.hpp"
#include "azurepaddle/storage/framed_file.hpp"
#include "azurepaddle/storage/log_reader.hpp"
#include "azurepaddle/storage/records.hpp"

#include <optional>
#include <span>

namespace azurepaddle::storage {

/// The durable state of one consensus participant in a data folder: log, term and vote, snapshot and identity.
/// Any failed write or fsync closes the store permanently, because the content of the disk is then unknown; the process
/// must stop. Not thread-safe. docs/storage.md describes the files.
template <FileSystem Files>
class LogStore {
public:
    /// The file system must outlive the store.
    explicit LogStore(Files& files) noexcept
        : m_files(files)
    {
    }

    LogStore(const LogStore&) = delete;
    LogStore& operator=(const LogStore&) = delete;
    ~LogStore() { closeFile(); }

    /// Whether the folder has an identity, readable or not. Without one, load() sets the folder up.
    [[nodiscard]] bool hasIdentity() const;

    /// Reads all files, removes a torn tail and syncs the returned state. Must succeed before any other call. An empty
    /// folder gets the given identity, which must never have been used before. Returns Corrupt if synced data is missing.
    [[nodiscard]] StorageResult<LoadedState> load(const std::string& freshIdentity);

    /// Buffers records until sync, and syncs if more than maxBatchBytes are buffered. The first record may replace the
    /// entries from its index on; the others follow it without gaps.
    [[nodiscard]] StorageResult<void> append(std::span<const LogRecord> records);
    /// Removes the entries from this index on. Takes effect at the next sync.
    [[nodiscard]] StorageResult<void> truncateSuffix(std::uint64_t index);
    /// Makes all buffered records durable with one write and one fsync. Does nothing if none are buffered.
    [[nodiscard]] StorageResult<void> sync();
    /// Makes term and vote durable atomically.
    [[nodiscard]] StorageResult<void> saveVote(const Vote& vote);
    /// Makes a snapshot of the local state durable and deletes the log files that it covers.
    [[nodiscard]] StorageResult<void> saveSnapshot(std::uint64_t index, std::uint64_t term, std::string_view bytes);
    /// Makes a snapshot of another instance durable and empties the log, which continues after the snapshot.
    [[nodiscard]] StorageResult<void> installSnapshot(std::uint64_t index, std::uint64_t term, std::string_view bytes);

    [[nodiscard]] bool isClosed() const noexcept { return m_isClosed; }
    [[nodiscard]] const std::string& identity() const noexcept { return m_identity; }

private:
    /// Properties of a log file that are kept in memory.
    struct File {
        std::uint64_t sequence = 0;
        std::uint64_t lastIndex = 0; ///< Highest index of its entries.
    };
    enum class Continuation : bool {
        Keep,
        Reset,
    };

    [[nodiscard]] StorageResult<void> create(const std::string& identity);
    [[nodiscard]] StorageResult<void> readIdentity(LoadedState& state);
    [[nodiscard]] StorageResult<void> refuseUsedFolder();
    [[nodiscard]] StorageResult<void> readLog(LoadedState& state);
    [[nodiscard]] StorageResult<void> readFile(LoadedState& state, std::uint64_t sequence, bool isNewest, bool isFirst);
    [[nodiscard]] StorageResult<void> openNewest(LoadedState& state, const Segment& segment, std::uint64_t size);
    [[nodiscard]] StorageResult<void> readSnapshot(LoadedState& state);
    [[nodiscard]] StorageResult<void> alignWithSnapshot(LoadedState& state);
    [[nodiscard]] StorageResult<void> startFile(std::uint64_t baseIndex, std::uint64_t baseTerm, Continuation continuation);
    [[nodiscard]] StorageResult<void> removeFilesBefore(std::uint64_t sequence);
    void bufferRecord(internal::SegmentRecordKind kind, LogRecord record);
    [[nodiscard]] StorageResult<void> checkOpen() const;
    template <typename T>
    [[nodiscard]] StorageResult<T> closeOnError(StorageResult<T> result);
    void closeFile() noexcept;

    Files& m_files;
    std::string m_identity;
    std::vector<File> m_logFiles;
    std::optional<FileHandle> m_file;
    std::uint64_t m_fileSize = 0;
    std::uint64_t m_batches = 0; ///< Number of batches in the newest file.
    std::vector<internal::SegmentRecord> m_buffer;
    std::size_t m_bufferBytes = 0;
    std::uint64_t m_lastIndex = 0;
    std::optional<std::uint64_t> m_lastTerm; ///< Unknown after a truncation.
    bool m_isLoaded = false;
    bool m_isClosed = false;
};

}

#include "azurepaddle/storage/log_store_load.hpp" // IWYU pragma: export
#include "azurepaddle/storage/log_store_write.hpp" // IWYU pragma: export
