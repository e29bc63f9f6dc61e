#pragma once

#include "azurepaddle/storage/file_system.hpp"

namespace azurepaddle::storage {

/// A data folder on disk. Not thread-safe.
class PosixFileSystem {
public:
    /// Creates the folder if it is missing; its parent must exist. Io if another process or object has it open.
    [[nodiscard]] static StorageResult<PosixFileSystem> openFolder(const std::string& path);

    PosixFileSystem(const PosixFileSystem&) = delete;
    PosixFileSystem& operator=(const PosixFileSystem&) = delete;
    PosixFileSystem(PosixFileSystem&& other) noexcept;
    PosixFileSystem& operator=(PosixFileSystem&& other) noexcept;
    ~PosixFileSystem();

    /// Returns the names of the regular files, sorted.
    [[nodiscard]] StorageResult<std::vector<std::string>> list() const;
    [[nodiscard]] StorageResult<std::string> read(const std::string& name) const;
    /// Creates the file if it is missing.
    [[nodiscard]] StorageResult<FileHandle> open(const std::string& name, OpenMode mode) const;
    [[nodiscard]] StorageResult<void> write(FileHandle file, std::string_view bytes) const;
    [[nodiscard]] StorageResult<void> truncate(FileHandle file, std::uint64_t size) const;
    [[nodiscard]] StorageResult<void> sync(FileHandle file) const;
    void close(FileHandle file) const noexcept;
    [[nodiscard]] StorageResult<void> rename(const std::string& from, const std::string& to) const;
    [[nodiscard]] StorageResult<void> remove(const std::string& name) const;
    [[nodiscard]] StorageResult<void> syncFolder() const;

private:
    explicit PosixFileSystem(int folder) noexcept
        : m_folder(folder)
    {
    }

    int m_folder = -1;
};

static_assert(FileSystem<PosixFileSystem>);

}
