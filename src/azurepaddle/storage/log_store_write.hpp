#pragma once

#include "azurepaddle/storage/log_store.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace azurepaddle::storage {

namespace internal {

    constexpr auto identityFile = "identity";
    constexpr auto voteFile = "vote";
    constexpr auto snapshotFile = "snapshot";
    constexpr std::string_view logPrefix = "log-";
    /// A log file of at least this size is finished at the next snapshot, so that it can be deleted later.
    constexpr std::uint64_t minFinishedFileBytes = 64U * 1024U;
    /// A log file of this size is finished.
    constexpr std::uint64_t maxFileBytes = 8U * 1024U * 1024U;

    [[nodiscard]] inline std::string logFileName(std::uint64_t sequence)
    {
        return fmt::format("{}{:020}", logPrefix, sequence);
    }

    /// Upper bound of the size that the encoding adds to the data of a record. It also limits the records of a batch.
    constexpr std::size_t recordOverheadBytes = 64;

    /// Written in its own frame before the bytes of a snapshot.
    struct SnapshotHeader {
        std::uint64_t index = 0;
        std::uint64_t term = 0;

        MSGPACK_DEFINE(index, term)
    };

}

template <FileSystem Files>
StorageResult<void> LogStore<Files>::checkOpen() const
{
    AZUREPADDLE_INVARIANT(m_isLoaded, "the log store is used before it is loaded");
    if (m_isClosed)
        return makeError(StorageErrorCode::Closed, "an earlier write failed; the store is closed");
    return {};
}

template <FileSystem Files>
template <typename T>
StorageResult<T> LogStore<Files>::closeOnError(StorageResult<T> result)
{
    if (!result) {
        m_isClosed = true;
        closeFile();
    }
    return result;
}

template <FileSystem Files>
void LogStore<Files>::closeFile() noexcept
{
    if (m_file)
        m_files.close(*m_file);
    m_file.reset();
}

template <FileSystem Files>
void LogStore<Files>::bufferRecord(internal::SegmentRecordKind kind, LogRecord record)
{
    m_bufferBytes += record.data.size() + internal::recordOverheadBytes;
    m_buffer.push_back({ static_cast<std::uint8_t>(kind), std::move(record) });
}

template <FileSystem Files>
StorageResult<void> LogStore<Files>::append(std::span<const LogRecord> records)
{
    if (auto open = checkOpen(); !open)
        return open;
    for (const LogRecord& record : records) {
        if (record.data.size() > maxRecordBytes)
            return makeError(StorageErrorCode::TooLarge, fmt::format("log record of {} bytes exceeds {}", record.data.size(), maxRecordBytes));
    }
    for (const LogRecord& record : records) {
        AZUREPADDLE_INVARIANT(record.index > 0 && record.index <= m_lastIndex + 1,
            fmt::format("entry {} appended after entry {}", record.index, m_lastIndex));
        bufferRecord(internal::SegmentRecordKind::Entry, record);
        m_lastIndex = record.index;
        m_lastTerm = record.term;
        m_logFiles.back().lastIndex = std::max(m_logFiles.back().lastIndex, record.index);
        if (m_bufferBytes <= maxBatchBytes)
            continue;
        if (auto synced = sync(); !synced)
            return synced;
    }
    return {};
}

template <FileSystem Files>
StorageResult<void> LogStore<Files>::truncateSuffix(std::uint64_t index)
{
    if (auto open = checkOpen(); !open)
        return open;
    if (index > m_lastIndex)
        return {};
    AZUREPADDLE_INVARIANT(index > 0, "entry 0 does not exist");
    m_lastIndex = index - 1;
    m_lastTerm.reset();
    bufferRecord(internal::SegmentRecordKind::Truncate, LogRecord { index, 0, 0, {} });
    return {};
}

template <FileSystem Files>
StorageResult<void> LogStore<Files>::sync()
{
    if (auto open = checkOpen(); !open)
        return open;
    if (m_buffer.empty())
        return {};
    const std::string bytes = codec::frame(codec::encode(internal::SegmentBatch { m_batches, std::move(m_buffer) }));
    m_buffer.clear();
    m_bufferBytes = 0;
    if (auto written = closeOnError(m_files.write(*m_file, bytes)); !written)
        return written;
    if (auto synced = closeOnError(m_files.sync(*m_file)); !synced)
        return synced;
    m_fileSize += bytes.size();
    ++m_batches;
    // Files are read completely at startup, so their size is limited.
    if (m_fileSize >= internal::maxFileBytes && m_lastTerm)
        return closeOnError(startFile(m_lastIndex, *m_lastTerm, Continuation::Keep));
    return {};
}

template <FileSystem Files>
StorageResult<void> LogStore<Files>::saveVote(const Vote& vote)
{
    if (auto open = checkOpen(); !open)
        return open;
    return closeOnError(storage::replaceFile(m_files, internal::voteFile, codec::frame(codec::encode(vote))));
}

template <FileSystem Files>
StorageResult<void> LogStore<Files>::startFile(std::uint64_t baseIndex, std::uint64_t baseTerm, Continuation continuation)
{
    closeFile();
    const std::uint64_t sequence = m_logFiles.empty() ? 1 : m_logFiles.back().sequence + 1;
    auto file = m_files.open(internal::logFileName(sequence), OpenMode::Replace);
    if (!file)
        return tl::unexpected(file.error());
    m_file = *file;
    m_batches = 0;
    m_fileSize = 0;
    m_logFiles.push_back({ sequence, baseIndex });
    const auto kind = continuation == Continuation::Reset ? internal::SegmentRecordKind::ResetHeader : internal::SegmentRecordKind::Header;
    const internal::SegmentHeader header { internal::segmentFormat, m_identity };
    bufferRecord(kind, LogRecord { baseIndex, baseTerm, 0, codec::encode(header) });
    if (auto synced = sync(); !synced)
        return synced;
    return m_files.syncFolder();
}

template <FileSystem Files>
StorageResult<void> LogStore<Files>::removeFilesBefore(std::uint64_t sequence)
{
    while (m_logFiles.front().sequence < sequence) {
        if (auto removed = m_files.remove(internal::logFileName(m_logFiles.front().sequence)); !removed)
            return removed;
        m_logFiles.erase(m_logFiles.begin());
    }
    return {};
}

template <FileSystem Files>
StorageResult<void> LogStore<Files>::saveSnapshot(std::uint64_t index, std::uint64_t term, std::string_view bytes)
{
    if (auto synced = sync(); !synced)
        return synced;
    AZUREPADDLE_INVARIANT(index <= m_lastIndex, "a snapshot of the local state lies beyond the log");
    const std::string head = codec::frame(codec::encode(internal::SnapshotHeader { index, term }));
    if (auto saved = closeOnError(storage::replaceFile(m_files, internal::snapshotFile, head + codec::frameHeader(bytes), bytes)); !saved)
        return saved;
    if (m_fileSize >= internal::minFinishedFileBytes && m_lastTerm) {
        if (auto started = closeOnError(startFile(m_lastIndex, *m_lastTerm, Continuation::Keep)); !started)
            return started;
    }
    auto needed = std::find_if(m_logFiles.begin(), m_logFiles.end() - 1, [index](const File& file) { return file.lastIndex > index; });
    return closeOnError(removeFilesBefore(needed->sequence));
}

template <FileSystem Files>
StorageResult<void> LogStore<Files>::installSnapshot(std::uint64_t index, std::uint64_t term, std::string_view bytes)
{
    if (auto synced = sync(); !synced)
        return synced;
    const std::string head = codec::frame(codec::encode(internal::SnapshotHeader { index, term }));
    if (auto saved = closeOnError(storage::replaceFile(m_files, internal::snapshotFile, head + codec::frameHeader(bytes), bytes)); !saved)
        return saved;
    m_lastIndex = index;
    m_lastTerm = term;
    if (auto started = closeOnError(startFile(index, term, Continuation::Reset)); !started)
        return started;
    return closeOnError(removeFilesBefore(m_logFiles.back().sequence));
}

}
