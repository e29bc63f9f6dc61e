#pragma once

#include "azurepaddle/storage/log_store.hpp"

#include <algorithm>
#include <map>

namespace azurepaddle::figures {

/// The snapshot format that LogStore does not use, kept for the comparison in docs/storage.md: parts of the state in
/// immutable files, and one small root file that lists them and is replaced atomically. A save writes the parts that
/// differ from the previous snapshot into one new file. Files without a live part are deleted; when less than half of
/// all stored bytes is live, everything is written anew.
template <storage::FileSystem Files>
class SegmentedSnapshot {
public:
    SegmentedSnapshot(Files& files, std::size_t partBytes) noexcept
        : m_files(files)
        , m_partBytes(partBytes)
    {
    }

    [[nodiscard]] storage::StorageResult<void> save(std::string bytes)
    {
        std::vector<Part> parts = unchangedParts(bytes);
        if (storedBytes() > 2 * bytes.size())
            parts.assign(parts.size(), Part {});
        const std::string written = takeChanged(parts, bytes);
        if (!written.empty()) {
            if (auto saved = writeFile(fileName(m_nextFile), written); !saved)
                return saved;
            m_fileBytes[m_nextFile++] = written.size();
        }
        m_parts = std::move(parts);
        m_previous = std::move(bytes);
        const std::string root = codec::frame(codec::encode(m_parts));
        if (auto saved = writeFile("root.tmp", root); !saved)
            return saved;
        if (auto renamed = m_files.rename("root.tmp", "root"); !renamed)
            return renamed;
        if (auto synced = m_files.syncFolder(); !synced)
            return synced;
        return removeUnused();
    }

    [[nodiscard]] storage::StorageResult<std::string> load() const
    {
        const auto root = m_files.read("root");
        if (!root)
            return tl::unexpected(root.error());
        const auto framed = codec::unframe(*root);
        const auto parts = framed ? codec::decode<std::vector<Part>>(framed->payload) : tl::unexpected(framed.error());
        if (!parts)
            return makeError(storage::StorageErrorCode::Corrupt, "the root is damaged");
        std::map<std::uint64_t, std::string> contents;
        std::string bytes;
        for (const Part& part : *parts) {
            if (!contents.contains(part.file)) {
                auto content = m_files.read(fileName(part.file));
                if (!content)
                    return content;
                contents[part.file] = std::move(*content);
            }
            const auto data = codec::unframe(std::string_view(contents[part.file]).substr(part.offset));
            if (!data)
                return makeError(storage::StorageErrorCode::Corrupt, "a part is damaged");
            bytes += data->payload;
        }
        return bytes;
    }

private:
    struct Part {
        std::uint64_t file = 0; ///< 0 if it is not stored yet.
        std::uint64_t offset = 0;

        MSGPACK_DEFINE(file, offset)
    };

    static std::string fileName(std::uint64_t file) { return fmt::format("segment-{:020}", file); }

    /// The parts of the previous snapshot whose bytes are the same in this one.
    std::vector<Part> unchangedParts(std::string_view bytes) const
    {
        std::vector<Part> parts((bytes.size() + m_partBytes - 1) / m_partBytes);
        for (std::size_t i = 0; i < std::min(parts.size(), m_parts.size()); ++i) {
            if (bytes.substr(i * m_partBytes, m_partBytes) == std::string_view(m_previous).substr(i * m_partBytes, m_partBytes))
                parts[i] = m_parts[i];
        }
        return parts;
    }

    std::string takeChanged(std::vector<Part>& parts, std::string_view bytes) const
    {
        std::string written;
        for (std::size_t i = 0; i < parts.size(); ++i) {
            if (parts[i].file != 0)
                continue;
            parts[i] = { m_nextFile, written.size() };
            written += codec::frame(bytes.substr(i * m_partBytes, m_partBytes));
        }
        return written;
    }

    std::uint64_t storedBytes() const
    {
        std::uint64_t sum = 0;
        for (const auto& [file, bytes] : m_fileBytes)
            sum += bytes;
        return sum;
    }

    storage::StorageResult<void> writeFile(const std::string& name, std::string_view bytes)
    {
        const auto file = m_files.open(name, storage::OpenMode::Replace);
        if (!file)
            return tl::unexpected(file.error());
        auto result = m_files.write(*file, bytes);
        if (result)
            result = m_files.sync(*file);
        m_files.close(*file);
        return result;
    }

    storage::StorageResult<void> removeUnused()
    {
        std::map<std::uint64_t, std::uint64_t> live;
        for (const Part& part : m_parts)
            live[part.file] = m_fileBytes[part.file];
        for (const auto& [file, bytes] : m_fileBytes) {
            if (live.contains(file))
                continue;
            if (auto removed = m_files.remove(fileName(file)); !removed)
                return removed;
        }
        m_fileBytes = std::move(live);
        return {};
    }

    Files& m_files;
    std::size_t m_partBytes;
    std::vector<Part> m_parts;
    std::string m_previous;
    std::map<std::uint64_t, std::uint64_t> m_fileBytes;
    std::uint64_t m_nextFile = 1;
};

}
