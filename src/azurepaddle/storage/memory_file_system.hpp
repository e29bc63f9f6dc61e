#pragma once

#include "azurepaddle/core/random.hpp"
#include "azurepaddle/storage/file_system.hpp"

#include <map>
#include <memory>
#include <optional>

namespace azurepaddle::storage {

/// A data folder in memory on a simulated machine that can crash. A crash loses an arbitrary part of the unsynced state:
/// unsynced bytes are truncated at any point, pages of them may read as zeros, and unsynced changes of names are kept up
/// to any point of their order. Equal seeds give equal behaviour. Not thread-safe.
class MemoryFileSystem {
public:
    explicit MemoryFileSystem(std::uint64_t seed) noexcept
        : m_random(seed)
    {
    }

    [[nodiscard]] StorageResult<std::vector<std::string>> list() const;
    [[nodiscard]] StorageResult<std::string> read(const std::string& name) const;
    [[nodiscard]] StorageResult<FileHandle> open(const std::string& name, OpenMode mode);
    [[nodiscard]] StorageResult<void> write(FileHandle file, std::string_view bytes);
    [[nodiscard]] StorageResult<void> truncate(FileHandle file, std::uint64_t size);
    [[nodiscard]] StorageResult<void> sync(FileHandle file);
    void close(FileHandle file) noexcept;
    [[nodiscard]] StorageResult<void> rename(const std::string& from, const std::string& to);
    [[nodiscard]] StorageResult<void> remove(const std::string& name);
    [[nodiscard]] StorageResult<void> syncFolder();

    /// Stops the machine immediately: every operation fails until restart.
    void crash() noexcept { m_crashed = true; }
    /// Stops the machine during the changing operation after this many more of them. A write is truncated at any point.
    void crashAfter(std::uint64_t operations) noexcept { m_operationsToCrash = operations; }
    /// Restarts the machine with the surviving state if it is down, and cancels planned faults except the capacity.
    void restart();
    /// Cancels planned crashes and failures that have not happened yet.
    void cancelFaults() noexcept;
    /// Limits the total size of all files. A write beyond it is truncated and fails.
    void setCapacity(std::uint64_t bytes) noexcept { m_capacity = bytes; }
    /// Makes the next fsync of a file fail. The unsynced bytes are lost, as Linux drops dirty pages after an error.
    void failNextSync() noexcept { m_failNextSync = true; }
    /// Removes all files durably, as a replaced disk does.
    void wipe();
    /// Replaces the durable content of a file, for tests of corruption.
    void overwrite(const std::string& name, std::string bytes);

    [[nodiscard]] bool isCrashed() const noexcept { return m_crashed; }
    /// Number of changing operations so far.
    [[nodiscard]] std::uint64_t operations() const noexcept { return m_operations; }
    /// Number of successful fsync calls so far, of files and of the folder.
    [[nodiscard]] std::uint64_t syncs() const noexcept { return m_syncs; }

private:
    struct Content {
        std::string bytes;
        std::size_t syncedSize = 0;
        std::optional<std::string> beforeTruncation; ///< Synced content before a truncation that is not synced yet.
        bool isLost = false; ///< An fsync failed, so that later ones report success without effect.
    };
    using Names = std::map<std::string, std::shared_ptr<Content>>;
    struct NameChange {
        std::string removed; ///< Empty for none.
        std::string added; ///< Empty for none.
        std::shared_ptr<Content> content; ///< Of the added name.
    };

    [[nodiscard]] StorageResult<void> begin();
    [[nodiscard]] StorageResult<std::shared_ptr<Content>> contentOf(FileHandle file) const;
    [[nodiscard]] std::uint64_t used() const noexcept;
    void changeNames(NameChange change);
    static void apply(const NameChange& change, Names& names);
    void loseUnsynced(Content& content);

    Random m_random;
    Names m_names;
    Names m_durableNames;
    std::vector<NameChange> m_unsyncedNames;
    std::map<FileHandle, std::shared_ptr<Content>> m_open;
    FileHandle m_nextHandle = 1;
    std::optional<std::uint64_t> m_operationsToCrash;
    std::optional<std::uint64_t> m_capacity;
    bool m_failNextSync = false;
    bool m_crashed = false;
    std::uint64_t m_operations = 0;
    std::uint64_t m_syncs = 0;
};

static_assert(FileSystem<MemoryFileSystem>);

}
