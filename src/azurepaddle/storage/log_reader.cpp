#include "azurepaddle/storage/log_reader.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <optional>

namespace azurepaddle::storage {

namespace {

    using internal::SegmentBatch;
    using internal::SegmentHeader;
    using internal::SegmentRecord;
    using internal::SegmentRecordKind;

    struct FramedBatch {
        SegmentBatch batch;
        std::size_t size = 0;
    };

    std::optional<FramedBatch> readBatch(std::string_view bytes)
    {
        const auto framed = codec::unframe(bytes);
        if (!framed)
            return std::nullopt;
        auto batch = codec::decode<SegmentBatch>(framed->payload);
        if (!batch)
            return std::nullopt;
        return FramedBatch { std::move(*batch), framed->size };
    }

    bool hasWholeBatch(std::string_view bytes)
    {
        for (; bytes.size() > codec::frameHeaderSize; bytes.remove_prefix(1)) {
            if (readBatch(bytes))
                return true;
        }
        return false;
    }

    StorageResult<void> readHeader(Segment& segment, const SegmentRecord& first)
    {
        const auto kind = static_cast<SegmentRecordKind>(first.recordKind);
        if (kind != SegmentRecordKind::Header && kind != SegmentRecordKind::ResetHeader)
            return makeError(StorageErrorCode::Corrupt, "a log file does not begin with a header");
        auto header = codec::decode<SegmentHeader>(first.record.data);
        if (!header || header->format != internal::segmentFormat)
            return makeError(StorageErrorCode::Corrupt, "a log file has an unknown format");
        segment.isReset = kind == SegmentRecordKind::ResetHeader;
        segment.baseIndex = first.record.index;
        segment.baseTerm = first.record.term;
        segment.identity = std::move(header->identity);
        segment.firstIndex = segment.baseIndex + 1;
        return {};
    }

    /// Returns the index of the last record parsed so far.
    std::uint64_t lastIndexOf(const Segment& segment)
    {
        return segment.records.empty() ? segment.firstIndex - 1 : segment.records.back().index;
    }

    StorageResult<void> addRecord(Segment& segment, SegmentRecord&& added)
    {
        const auto kind = static_cast<SegmentRecordKind>(added.recordKind);
        const std::uint64_t index = added.record.index;
        if (kind != SegmentRecordKind::Entry && kind != SegmentRecordKind::Truncate)
            return makeError(StorageErrorCode::Corrupt, "a log file has a record of unknown kind");
        if (index == 0 || index > lastIndexOf(segment) + 1)
            return makeError(StorageErrorCode::Corrupt, fmt::format("entry {} follows entry {}", index, lastIndexOf(segment)));
        while (!segment.records.empty() && segment.records.back().index >= index)
            segment.records.pop_back();
        segment.firstIndex = std::min(segment.firstIndex, index);
        if (kind == SegmentRecordKind::Entry)
            segment.records.push_back(std::move(added.record));
        return {};
    }

    StorageResult<void> addBatch(Segment& segment, SegmentBatch&& batch)
    {
        if (batch.number != segment.batches || batch.records.empty())
            return makeError(StorageErrorCode::Corrupt, fmt::format("batch {} found in place of batch {}", batch.number, segment.batches));
        auto next = batch.records.begin();
        if (segment.batches == 0) {
            if (auto read = readHeader(segment, *next++); !read)
                return read;
        }
        for (; next != batch.records.end(); ++next) {
            if (auto added = addRecord(segment, std::move(*next)); !added)
                return added;
        }
        ++segment.batches;
        return {};
    }

}

StorageResult<Segment> readSegment(std::string_view bytes, bool isNewest)
{
    Segment segment;
    while (segment.validSize < bytes.size()) {
        auto read = readBatch(bytes.substr(segment.validSize));
        if (!read && isNewest && !hasWholeBatch(bytes.substr(segment.validSize + 1)))
            break;
        if (!read)
            return makeError(StorageErrorCode::Corrupt, fmt::format("the log batch at byte {} is damaged", segment.validSize));
        if (auto added = addBatch(segment, std::move(read->batch)); !added)
            return tl::unexpected(added.error());
        segment.validSize += read->size;
    }
    if (segment.validSize == 0 && !isNewest)
        return makeError(StorageErrorCode::Corrupt, "a log file is empty");
    return segment;
}

StorageResult<void> appendSegment(std::vector<LogRecord>& log, std::uint64_t logBase, Segment&& segment)
{
    if (segment.firstIndex <= logBase)
        return makeError(StorageErrorCode::Corrupt, fmt::format("entry {} precedes the start of the log", segment.firstIndex));
    log.resize(std::min<std::size_t>(log.size(), segment.firstIndex - 1 - logBase));
    log.insert(log.end(), std::make_move_iterator(segment.records.begin()), std::make_move_iterator(segment.records.end()));
    return {};
}

}
