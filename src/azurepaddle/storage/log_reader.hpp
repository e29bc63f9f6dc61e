#pragma once

#include "azurepaddle/storage/file_system.hpp"
#include "azurepaddle/storage/records.hpp"

#include <string_view>

namespace azurepaddle::storage {

/// The valid content of one log file.
struct Segment {
    bool isReset = false; ///< Entries of earlier files are void.
    std::uint64_t baseIndex = 0;
    std::uint64_t baseTerm = 0;
    std::string identity;
    std::vector<LogRecord> records; ///< Contiguous from firstIndex on.
    std::uint64_t firstIndex = 0; ///< Lowest index that the file writes or removes; baseIndex + 1 if none.
    std::uint64_t validSize = 0; ///< Bytes before a torn tail. 0 if not even the header is whole.
    std::uint64_t batches = 0; ///< Number of whole batches.
};

/// Reads a log file. Only the last batch of the newest file may be torn by a crash; it is then left out. A damaged
/// batch in an older file or in front of a whole one had been synced and is Corrupt.
[[nodiscard]] StorageResult<Segment> readSegment(std::string_view bytes, bool isNewest);

/// Appends the records of a segment to a log that ends at its base, replacing the entries it overwrites.
[[nodiscard]] StorageResult<void> appendSegment(std::vector<LogRecord>& log, std::uint64_t logBase, Segment&& segment);

}
