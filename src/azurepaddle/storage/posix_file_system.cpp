#include "azurepaddle/storage/posix_file_system.hpp"

#include <algorithm>
#include <cerrno>
#include <dirent.h>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace azurepaddle::storage {

namespace {

    constexpr mode_t folderMode = 0700;
    constexpr mode_t fileMode = 0600;

    tl::unexpected<StorageError> systemError(std::string_view operation, std::string_view name)
    {
        const int number = errno;
        const bool isFull = number == ENOSPC || number == EDQUOT;
        const StorageErrorCode code = number == ENOENT ? StorageErrorCode::NotFound : isFull ? StorageErrorCode::NoSpace
                                                                                             : StorageErrorCode::Io;
        return makeError(code, fmt::format("{} {}: {}", operation, name, std::generic_category().message(number)));
    }

    StorageResult<void> syncPath(const std::string& path)
    {
        const int folder = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
        if (folder < 0)
            return systemError("open folder", path);
        const int result = ::fsync(folder);
        const int number = errno;
        ::close(folder);
        errno = number;
        if (result != 0)
            return systemError("fsync folder", path);
        return {};
    }

    StorageResult<std::string> readAll(int file, const std::string& name)
    {
        struct stat status { };
        if (::fstat(file, &status) != 0)
            return systemError("stat", name);
        std::string bytes(static_cast<std::size_t>(status.st_size), '\0');
        std::size_t done = 0;
        while (done < bytes.size()) {
            const ssize_t count = ::read(file, bytes.data() + done, bytes.size() - done);
            if (count < 0 && errno == EINTR)
                continue;
            if (count < 0)
                return systemError("read", name);
            if (count == 0)
                break;
            done += static_cast<std::size_t>(count);
        }
        bytes.resize(done);
        return bytes;
    }

}

StorageResult<PosixFileSystem> PosixFileSystem::openFolder(const std::string& path)
{
    if (::mkdir(path.c_str(), folderMode) == 0) {
        const std::string parent = std::filesystem::absolute(path).parent_path().string();
        if (auto synced = syncPath(parent); !synced)
            return tl::unexpected(synced.error());
    } else if (errno != EEXIST) {
        return systemError("create folder", path);
    }
    const int folder = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folder < 0)
        return systemError("open folder", path);
    PosixFileSystem files(folder);
    if (::flock(folder, LOCK_EX | LOCK_NB) != 0)
        return systemError("lock folder, which another process may use,", path);
    return files;
}

PosixFileSystem::PosixFileSystem(PosixFileSystem&& other) noexcept
    : m_folder(std::exchange(other.m_folder, -1))
{
}

PosixFileSystem& PosixFileSystem::operator=(PosixFileSystem&& other) noexcept
{
    std::swap(m_folder, other.m_folder);
    return *this;
}

PosixFileSystem::~PosixFileSystem()
{
    if (m_folder >= 0)
        ::close(m_folder);
}

StorageResult<std::vector<std::string>> PosixFileSystem::list() const
{
    const int folder = ::openat(m_folder, ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folder < 0)
        return systemError("open", "the data folder");
    DIR* entries = ::fdopendir(folder);
    if (entries == nullptr) {
        ::close(folder);
        return systemError("list", "the data folder");
    }
    std::vector<std::string> names;
    while (const dirent* entry = ::readdir(entries)) {
        struct stat status { };
        if (::fstatat(m_folder, entry->d_name, &status, AT_SYMLINK_NOFOLLOW) == 0 && S_ISREG(status.st_mode))
            names.emplace_back(entry->d_name);
    }
    ::closedir(entries);
    std::sort(names.begin(), names.end());
    return names;
}

StorageResult<std::string> PosixFileSystem::read(const std::string& name) const
{
    const int file = ::openat(m_folder, name.c_str(), O_RDONLY | O_CLOEXEC);
    if (file < 0)
        return systemError("open", name);
    auto bytes = readAll(file, name);
    ::close(file);
    return bytes;
}

StorageResult<FileHandle> PosixFileSystem::open(const std::string& name, OpenMode mode) const
{
    const int flags = O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC | (mode == OpenMode::Replace ? O_TRUNC : 0);
    const int file = ::openat(m_folder, name.c_str(), flags, fileMode);
    if (file < 0)
        return systemError("open", name);
    return file;
}

StorageResult<void> PosixFileSystem::write(FileHandle file, std::string_view bytes) const
{
    while (!bytes.empty()) {
        const ssize_t count = ::write(file, bytes.data(), bytes.size());
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            return systemError("write", "a file");
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return {};
}

StorageResult<void> PosixFileSystem::truncate(FileHandle file, std::uint64_t size) const
{
    if (::ftruncate(file, static_cast<off_t>(size)) != 0)
        return systemError("truncate", "a file");
    return {};
}

StorageResult<void> PosixFileSystem::sync(FileHandle file) const
{
    if (::fdatasync(file) != 0)
        return systemError("fsync", "a file");
    return {};
}

void PosixFileSystem::close(FileHandle file) const noexcept
{
    ::close(file);
}

StorageResult<void> PosixFileSystem::rename(const std::string& from, const std::string& to) const
{
    if (::renameat(m_folder, from.c_str(), m_folder, to.c_str()) != 0)
        return systemError("rename", from);
    return {};
}

StorageResult<void> PosixFileSystem::remove(const std::string& name) const
{
    if (::unlinkat(m_folder, name.c_str(), 0) != 0)
        return systemError("remove", name);
    return {};
}

StorageResult<void> PosixFileSystem::syncFolder() const
{
    if (::fsync(m_folder) != 0)
        return systemError("fsync", "the data folder");
    return {};
}

}
