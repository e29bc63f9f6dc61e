#pragma once

#include "azurepaddle/storage/log_store.hpp"
#include "azurepaddle/storage/log_store_write.hpp"

#include <algorithm>
#include <charconv>
#include <limits>

namespace azurepaddle::storage {

namespace internal {

    /// Returns the sequence number in the name of a log file; empty for other files.
    [[nodiscard]] inline std::optional<std::uint64_t> logFileSequence(std::string_view name)
    {
        if (!name.starts_with(logPrefix))
            return std::nullopt;
        const std::string_view digits = name.substr(logPrefix.size());
        std::uint64_t sequence = 0;
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), sequence);
        if (error != std::errc {} || logFileName(sequence) != name)
            return std::nullopt;
        return sequence;
    }

}

template <FileSystem Files>
StorageResult<LoadedState> LogStore<Files>::load(const std::string& freshIdentity)
{
    AZUREPADDLE_INVARIANT(!m_isLoaded, "the log store is loaded twice");
    m_isLoaded = true;
    LoadedState state;
    auto result = readIdentity(state);
    if (result && state.identity.empty()) {
        state.isFresh = true;
        state.identity = freshIdentity;
        result = create(freshIdentity);
    }
    if (result)
        result = readSnapshot(state);
    if (result)
        result = readLog(state);
    if (result)
        result = alignWithSnapshot(state);
    if (!closeOnError(result))
        return tl::unexpected(result.error());
    return state;
}

template <FileSystem Files>
bool LogStore<Files>::hasIdentity() const
{
    const auto identity = m_files.read(internal::identityFile);
    return identity || identity.error().code() != StorageErrorCode::NotFound;
}

template <FileSystem Files>
StorageResult<void> LogStore<Files>::readIdentity(LoadedState& state)
{
    auto identity = readFramed<std::string>(m_files, internal::identityFile);
    if (!identity && identity.error().code() == StorageErrorCode::NotFound)
        return refuseUsedFolder();
    if (!identity)
        return tl::unexpected(identity.error());
    auto vote = readFramed<Vote>(m_files, internal::voteFile);
    if (!vote && vote.error().code() == StorageErrorCode::NotFound)
        return makeError(StorageErrorCode::Corrupt, "the vote file is missing");
    if (!vote)
        return tl::unexpected(vote.error());
    state.identity = *identity;
    state.vote = *vote;
    m_identity = std::move(*identity);
    return {};
}

/// The identity is written last when a folder is set up. Without it, the other files contain nothing that was
/// acknowledged, unless the identity file was removed from outside.
template <FileSystem Files>
StorageResult<void> LogStore<Files>::refuseUsedFolder()
{
    const auto names = m_files.list();
    if (!names)
        return tl::unexpected(names.error());
    const auto vote = readFramed<Vote>(m_files, internal::voteFile);
    bool isUsed = vote ? *vote != Vote {} : vote.error().code() != StorageErrorCode::NotFound;
    for (const std::string& name : *names) {
        isUsed = isUsed || name == internal::snapshotFile;
        if (!internal::logFileSequence(name))
            continue;
        const auto bytes = m_files.read(name);
        const auto segment = bytes ? readSegment(*bytes, true) : tl::unexpected(bytes.error());
        isUsed = isUsed || !segment || !segment->records.empty();
    }
    if (isUsed)
        return makeError(StorageErrorCode::Corrupt, "the identity file is missing but the folder holds a vote, a snapshot or a log");
    return {};
}

template <FileSystem Files>
StorageResult<void> LogStore<Files>::create(const std::string& identity)
{
    AZUREPADDLE_INVARIANT(!identity.empty(), "a new data folder needs an identity");
    m_identity = identity;
    if (auto written = storage::replaceFile(m_files, internal::voteFile, codec::frame(codec::encode(Vote {}))); !written)
        return written;
    if (auto started = startFile(0, 0, Continuation::Reset); !started)
        return started;
    closeFile();
    m_logFiles.clear();
    return storage::replaceFile(m_files, internal::identityFile, codec::frame(codec::encode(identity)));
}

template <FileSystem Files>
StorageResult<void> LogStore<Files>::readSnapshot(LoadedState& state)
{
    auto bytes = m_files.read(internal::snapshotFile);
    if (!bytes && bytes.error().code() == StorageErrorCode::NotFound)
        return {};
    if (!bytes)
        return tl::unexpected(bytes.error());
    constexpr auto unlimited = std::numeric_limits<std::size_t>::max();
    const auto head = codec::unframe(*bytes);
    const auto header = head ? codec::decode<internal::SnapshotHeader>(head->payload) : tl::unexpected(head.error());
    if (!header)
        return makeError(StorageErrorCode::Corrupt, "the header of the snapshot is damaged");
    const auto body = codec::unframe(std::string_view(*bytes).substr(head->size), unlimited);
    if (!body || head->size + body->size != bytes->size())
        return makeError(StorageErrorCode::Corrupt, "the snapshot is damaged");
    bytes->erase(0, bytes->size() - body->payload.size());
    state.snapshot = { header->index, header->term, std::move(*bytes) };
    return {};
}

template <FileSystem Files>
StorageResult<void> LogStore<Files>::readLog(LoadedState& state)
{
    const auto names = m_files.list();
    if (!names)
        return tl::unexpected(names.error());
    std::vector<std::uint64_t> sequences;
    for (const std::string& name : *names) {
        if (const auto sequence = internal::logFileSequence(name))
            sequences.push_back(*sequence);
    }
    std::sort(sequences.begin(), sequences.end());
    if (sequences.empty())
        return makeError(StorageErrorCode::Corrupt, "the log is missing");
    // Some deleted files may reappear after a crash. Those before a gap are covered by the snapshot.
    std::size_t first = sequences.size() - 1;
    while (first > 0 && sequences[first - 1] + 1 == sequences[first])
        --first;
    for (std::size_t i = 0; i < first; ++i) {
        if (auto removed = m_files.remove(internal::logFileName(sequences[i])); !removed)
            return removed;
    }
    for (std::size_t i = first; i < sequences.size(); ++i) {
        if (auto read = readFile(state, sequences[i], i + 1 == sequences.size(), i == first); !read)
            return read;
    }
    return {};
}

template <FileSystem Files>
StorageResult<void> LogStore<Files>::readFile(LoadedState& state, std::uint64_t sequence, bool isNewest, bool isFirst)
{
    const auto bytes = m_files.read(internal::logFileName(sequence));
    if (!bytes)
        return tl::unexpected(bytes.error());
    auto segment = readSegment(*bytes, isNewest);
    if (!segment)
        return makeError(segment.error().code(), fmt::format("{}: {}", internal::logFileName(sequence), segment.error().message()));
    if (segment->validSize == 0)
        return openNewest(state, *segment, bytes->size());
    if (segment->identity != m_identity)
        return makeError(StorageErrorCode::Corrupt, fmt::format("{} belongs to another instance", internal::logFileName(sequence)));
    if (isFirst || segment->isReset) {
        state.records.clear();
        state.baseIndex = segment->baseIndex;
        state.baseTerm = segment->baseTerm;
    }
    if (isFirst && segment->firstIndex <= segment->baseIndex && !segment->records.empty()) {
        // The file replaced entries of a deleted file. Its first entry then determines the base.
        state.baseIndex = segment->records.front().index;
        state.baseTerm = segment->records.front().term;
        segment->records.erase(segment->records.begin());
        segment->firstIndex = state.baseIndex + 1;
    } else if (state.baseIndex + state.records.size() != segment->baseIndex) {
        return makeError(StorageErrorCode::Corrupt, fmt::format("{} does not continue the file before it", internal::logFileName(sequence)));
    }
    if (auto appended = appendSegment(state.records, state.baseIndex, std::move(*segment)); !appended)
        return appended;
    const std::uint64_t lastIndex = state.baseIndex + state.records.size();
    m_logFiles.push_back({ sequence, std::max(lastIndex, segment->baseIndex) });
    return isNewest ? openNewest(state, *segment, bytes->size()) : StorageResult<void> {};
}

template <FileSystem Files>
StorageResult<void> LogStore<Files>::openNewest(LoadedState& state, const Segment& segment, std::uint64_t size)
{
    state.cutBytes = size - segment.validSize;
    m_lastIndex = state.baseIndex + state.records.size();
    m_lastTerm = state.records.empty() ? state.baseTerm : state.records.back().term;
    if (segment.validSize == 0) {
        // The file was being created. Its predecessor is complete, because it was synced before.
        if (m_logFiles.empty())
            return makeError(StorageErrorCode::Corrupt, "the only log file has no header");
        return startFile(m_lastIndex, *m_lastTerm, Continuation::Keep);
    }
    auto file = m_files.open(internal::logFileName(m_logFiles.back().sequence), OpenMode::Append);
    if (!file)
        return tl::unexpected(file.error());
    m_file = *file;
    m_fileSize = segment.validSize;
    m_batches = segment.batches;
    if (state.cutBytes > 0) {
        if (auto cut = m_files.truncate(*m_file, m_fileSize); !cut)
            return cut;
    }
    if (auto synced = m_files.sync(*m_file); !synced)
        return synced;
    return m_files.syncFolder();
}

template <FileSystem Files>
StorageResult<void> LogStore<Files>::alignWithSnapshot(LoadedState& state)
{
    const Snapshot& snapshot = state.snapshot;
    if (snapshot.index < state.baseIndex)
        return makeError(StorageErrorCode::Corrupt, fmt::format("the log begins after entry {} but the snapshot ends at {}", state.baseIndex, snapshot.index));
    const std::uint64_t offset = snapshot.index - state.baseIndex;
    const bool isInLog = offset <= state.records.size();
    const std::uint64_t term = !isInLog ? 0 : offset == 0 ? state.baseTerm
                                                          : state.records[offset - 1].term;
    if (isInLog && term == snapshot.term)
        return {};
    // The machine crashed after installing a snapshot and before starting the log that follows it.
    state.records.clear();
    state.baseIndex = snapshot.index;
    state.baseTerm = snapshot.term;
    m_lastIndex = snapshot.index;
    m_lastTerm = snapshot.term;
    if (auto started = startFile(snapshot.index, snapshot.term, Continuation::Reset); !started)
        return started;
    return removeFilesBefore(m_logFiles.back().sequence);
}

}
