#pragma once

#include "azurepaddle/storage/file_system.hpp"
#include "azurepaddle/storage/records.hpp"

#include <string_view>

namespace azurepaddle::storage {

/// The valid content of one log file.
struct Segment {
    bool isReset = false; ///< Entries of earlier files are invalid.
    std::uint64_t baseIndex = 0;
    std::uint64_t baseTerm = 0;
    std::string identity;
    std::vector<LogRecord> records; ///< Contiguous, starting at firstIndex.
    std::uint64_t firstIndex = 0; ///< Lowest index that the file writes or removes; baseIndex + 1 if none.
    std::uint64_t validSize = 0; ///< Number of bytes before a torn tail; 0 if the header itself is incomplete.
    std::uint64_t batches = 0; ///< Number of complete batches.
};

/// Parses a log file. Only the last batch of the newest file can be torn by a crash; it is then omitted. A damaged batch
/// in an older file or before a complete one was synced, and is reported as Corrupt.
[[nodiscard]] StorageResult<Segment> readSegment(std::string_view bytes, bool isNewest);

/// Appends the records of a segment to a log and replaces the entries that the segment overwrites.
[[nodiscard]] StorageResult<void> appendSegment(std::vector<LogRecord>& log, std::uint64_t logBase, Segment&& segment);

}
