#pragma once

#include "azurepaddle/codec/codec.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace azurepaddle::storage {

/// Largest payload of one log record. A batch of maxBatchBytes and one such record stays below the size limit of the
/// codec.
constexpr std::size_t maxRecordBytes = 8U * 1024U * 1024U;
/// Buffered records beyond this size are written and synced before more are buffered.
constexpr std::size_t maxBatchBytes = 4U * 1024U * 1024U;

/// One entry of the replicated log. The store does not interpret kind and data.
struct LogRecord {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::uint8_t kind = 0;
    std::string data;

    friend bool operator==(const LogRecord&, const LogRecord&) = default;
    MSGPACK_DEFINE(index, term, kind, data)
};

/// The term of an instance and the candidate it voted for in that term, empty for none.
struct Vote {
    std::uint64_t term = 0;
    std::string candidate;

    friend bool operator==(const Vote&, const Vote&) = default;
    MSGPACK_DEFINE(term, candidate)
};

/// The state after applying all entries up to an index. Index 0 means that there is none.
struct Snapshot {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::string bytes;

    friend bool operator==(const Snapshot&, const Snapshot&) = default;
};

/// The content of a store when it is opened.
struct LoadedState {
    std::string identity; ///< Stays the same for the lifetime of the folder.
    bool isFresh = false; ///< The folder was empty, so the identity is new.
    Vote vote;
    Snapshot snapshot;
    std::uint64_t baseIndex = 0; ///< The records continue after this index.
    std::uint64_t baseTerm = 0;
    std::vector<LogRecord> records;
    std::uint64_t cutBytes = 0; ///< Size in bytes of the torn tail that was removed.
};

namespace internal {

    enum class SegmentRecordKind : std::uint8_t {
        Header, ///< First record of a file. Index and term are those of the entry before it, data the identity.
        ResetHeader, ///< The same, and all entries of earlier files are invalid.
        Entry,
        Truncate, ///< Removes the entries from this index on.
    };

    constexpr std::uint32_t segmentFormat = 1;

    struct SegmentRecord {
        std::uint8_t recordKind = 0;
        LogRecord record;

        MSGPACK_DEFINE(recordKind, record)
    };

    /// The records of one fsync, written as one frame. A batch is written only after the one before it has been
    /// synced, so a complete batch after a damaged one proves that the damaged one was synced.
    struct SegmentBatch {
        std::uint64_t number = 0;
        std::vector<SegmentRecord> records;

        MSGPACK_DEFINE(number, records)
    };

    struct SegmentHeader {
        std::uint32_t format = segmentFormat;
        std::string identity;

        MSGPACK_DEFINE(format, identity)
    };

}

}
