#pragma once

#include "azurepaddle/storage/file_system.hpp"

namespace azurepaddle::figures {

/// Passes everything on to another file system and counts.
template <storage::FileSystem Files>
class CountingFileSystem {
public:
    explicit CountingFileSystem(Files& files) noexcept
        : m_files(files)
    {
    }

    [[nodiscard]] auto list() { return m_files.list(); }
    [[nodiscard]] auto read(const std::string& name) { return m_files.read(name); }
    [[nodiscard]] auto open(const std::string& name, storage::OpenMode mode) { return m_files.open(name, mode); }
    [[nodiscard]] auto write(storage::FileHandle file, std::string_view bytes)
    {
        m_bytes += bytes.size();
        return m_files.write(file, bytes);
    }
    [[nodiscard]] auto truncate(storage::FileHandle file, std::uint64_t size) { return m_files.truncate(file, size); }
    [[nodiscard]] auto sync(storage::FileHandle file)
    {
        ++m_syncs;
        return m_files.sync(file);
    }
    void close(storage::FileHandle file) noexcept { m_files.close(file); }
    [[nodiscard]] auto rename(const std::string& from, const std::string& to) { return m_files.rename(from, to); }
    [[nodiscard]] auto remove(const std::string& name) { return m_files.remove(name); }
    [[nodiscard]] auto syncFolder()
    {
        ++m_syncs;
        return m_files.syncFolder();
    }

    /// Fsyncs of files and of the folder.
    [[nodiscard]] std::uint64_t syncs() const noexcept { return m_syncs; }
    [[nodiscard]] std::uint64_t bytesWritten() const noexcept { return m_bytes; }

private:
    Files& m_files;
    std::uint64_t m_syncs = 0;
    std::uint64_t m_bytes = 0;
};

}
