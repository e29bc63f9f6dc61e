#include "azurepaddle/storage/memory_file_system.hpp"

#include <algorithm>
#include <numeric>

namespace azurepaddle::storage {

namespace {

    constexpr std::size_t pageBytes = 512;
    constexpr double zeroPageChance = 0.1;

    tl::unexpected<StorageError> crashedError()
    {
        return makeError(StorageErrorCode::Crashed, "the machine is down");
    }

}

StorageResult<void> MemoryFileSystem::begin()
{
    if (m_crashed)
        return crashedError();
    ++m_operations;
    if (m_operationsToCrash && (*m_operationsToCrash)-- == 0) {
        m_crashed = true;
        return crashedError();
    }
    return {};
}

StorageResult<std::shared_ptr<MemoryFileSystem::Content>> MemoryFileSystem::contentOf(FileHandle file) const
{
    const auto found = m_open.find(file);
    if (found == m_open.end())
        return makeError(StorageErrorCode::Io, "the file is not open");
    return found->second;
}

std::uint64_t MemoryFileSystem::used() const noexcept
{
    return std::accumulate(m_names.begin(), m_names.end(), std::uint64_t { 0 },
        [](std::uint64_t sum, const auto& file) { return sum + file.second->bytes.size(); });
}

void MemoryFileSystem::apply(const NameChange& change, Names& names)
{
    if (!change.removed.empty())
        names.erase(change.removed);
    if (!change.added.empty())
        names[change.added] = change.content;
}

void MemoryFileSystem::changeNames(NameChange change)
{
    apply(change, m_names);
    m_unsyncedNames.push_back(std::move(change));
}

StorageResult<std::vector<std::string>> MemoryFileSystem::list() const
{
    if (m_crashed)
        return crashedError();
    std::vector<std::string> names;
    for (const auto& [name, content] : m_names)
        names.push_back(name);
    return names;
}

StorageResult<std::string> MemoryFileSystem::read(const std::string& name) const
{
    if (m_crashed)
        return crashedError();
    const auto found = m_names.find(name);
    if (found == m_names.end())
        return makeError(StorageErrorCode::NotFound, name + " does not exist");
    return found->second->bytes;
}

StorageResult<FileHandle> MemoryFileSystem::open(const std::string& name, OpenMode mode)
{
    if (auto begun = begin(); !begun)
        return tl::unexpected(begun.error());
    if (!m_names.contains(name))
        changeNames({ {}, name, std::make_shared<Content>() });
    const FileHandle file = m_nextHandle++;
    m_open[file] = m_names[name];
    if (mode == OpenMode::Replace && !m_names[name]->bytes.empty())
        return truncate(file, 0).map([file] { return file; });
    return file;
}

StorageResult<void> MemoryFileSystem::write(FileHandle file, std::string_view bytes)
{
    auto content = contentOf(file);
    if (!content)
        return tl::unexpected(content.error());
    const bool wasCrashed = m_crashed;
    if (auto begun = begin(); !begun) {
        if (!wasCrashed)
            (*content)->bytes.append(bytes.substr(0, m_random.below(bytes.size() + 1)));
        return begun;
    }
    const std::uint64_t total = used();
    if (m_capacity && total + bytes.size() > *m_capacity) {
        (*content)->bytes.append(bytes.substr(0, *m_capacity > total ? *m_capacity - total : 0));
        return makeError(StorageErrorCode::NoSpace, "the disk is full");
    }
    (*content)->bytes.append(bytes);
    return {};
}

StorageResult<void> MemoryFileSystem::truncate(FileHandle file, std::uint64_t size)
{
    if (auto begun = begin(); !begun)
        return begun;
    auto found = contentOf(file);
    if (!found)
        return tl::unexpected(found.error());
    Content& content = **found;
    if (size < content.syncedSize && !content.beforeTruncation)
        content.beforeTruncation = content.bytes.substr(0, content.syncedSize);
    content.bytes.resize(std::min<std::size_t>(size, content.bytes.size()));
    content.syncedSize = std::min(content.syncedSize, content.bytes.size());
    return {};
}

StorageResult<void> MemoryFileSystem::sync(FileHandle file)
{
    if (auto begun = begin(); !begun)
        return begun;
    auto found = contentOf(file);
    if (!found)
        return tl::unexpected(found.error());
    Content& content = **found;
    if (std::exchange(m_failNextSync, false)) {
        content.isLost = true;
        return makeError(StorageErrorCode::Io, "fsync failed");
    }
    ++m_syncs;
    if (content.isLost)
        return {};
    content.syncedSize = content.bytes.size();
    content.beforeTruncation.reset();
    return {};
}

void MemoryFileSystem::close(FileHandle file) noexcept
{
    m_open.erase(file);
}

StorageResult<void> MemoryFileSystem::rename(const std::string& from, const std::string& to)
{
    if (auto begun = begin(); !begun)
        return begun;
    const auto found = m_names.find(from);
    if (found == m_names.end())
        return makeError(StorageErrorCode::NotFound, from + " does not exist");
    changeNames({ from, to, found->second });
    return {};
}

StorageResult<void> MemoryFileSystem::remove(const std::string& name)
{
    if (auto begun = begin(); !begun)
        return begun;
    if (!m_names.contains(name))
        return makeError(StorageErrorCode::NotFound, name + " does not exist");
    changeNames({ name, {}, nullptr });
    return {};
}

StorageResult<void> MemoryFileSystem::syncFolder()
{
    if (auto begun = begin(); !begun)
        return begun;
    ++m_syncs;
    m_durableNames = m_names;
    m_unsyncedNames.clear();
    return {};
}

void MemoryFileSystem::loseUnsynced(Content& content)
{
    if (content.beforeTruncation && m_random.chance(0.5)) {
        content.bytes = *content.beforeTruncation;
        content.syncedSize = content.bytes.size();
    }
    const std::size_t unsynced = content.bytes.size() - content.syncedSize;
    content.bytes.resize(content.syncedSize + (content.isLost ? 0 : m_random.below(unsynced + 1)));
    for (std::size_t at = content.syncedSize; at < content.bytes.size(); at += pageBytes - at % pageBytes) {
        const std::size_t end = std::min(content.bytes.size(), at + pageBytes - at % pageBytes);
        if (m_random.chance(zeroPageChance))
            std::fill(content.bytes.begin() + static_cast<std::ptrdiff_t>(at), content.bytes.begin() + static_cast<std::ptrdiff_t>(end), '\0');
    }
    content.syncedSize = content.bytes.size();
    content.beforeTruncation.reset();
    content.isLost = false;
}

void MemoryFileSystem::cancelFaults() noexcept
{
    m_operationsToCrash.reset();
    m_failNextSync = false;
}

void MemoryFileSystem::restart()
{
    cancelFaults();
    m_open.clear();
    if (!std::exchange(m_crashed, false))
        return;
    const std::size_t kept = m_random.below(m_unsyncedNames.size() + 1);
    for (std::size_t i = 0; i < kept; ++i)
        apply(m_unsyncedNames[i], m_durableNames);
    m_unsyncedNames.clear();
    m_names = m_durableNames;
    for (auto& [name, content] : m_names)
        loseUnsynced(*content);
}

void MemoryFileSystem::wipe()
{
    m_names.clear();
    m_durableNames.clear();
    m_unsyncedNames.clear();
    m_open.clear();
}

void MemoryFileSystem::overwrite(const std::string& name, std::string bytes)
{
    auto content = std::make_shared<Content>();
    content->syncedSize = bytes.size();
    content->bytes = std::move(bytes);
    m_names[name] = content;
    m_durableNames[name] = content;
}

}
