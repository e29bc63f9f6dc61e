#pragma once

#include "azurepaddle/codec/codec.hpp"
#include "azurepaddle/storage/file_system.hpp"

#include <fmt/format.h>

namespace azurepaddle::storage {

namespace internal {

    constexpr std::string_view temporarySuffix = ".tmp";

}

/// Reads a file that contains one framed value. The file is only replaced atomically, so any damage is corruption.
template <typename T, FileSystem Files>
[[nodiscard]] StorageResult<T> readFramed(Files& files, const std::string& name)
{
    const auto bytes = files.read(name);
    if (!bytes)
        return tl::unexpected(bytes.error());
    const auto framed = codec::unframe(*bytes);
    if (!framed || framed->size != bytes->size())
        return makeError(StorageErrorCode::Corrupt, fmt::format("the file {} is damaged", name));
    auto value = codec::decode<T>(framed->payload);
    if (!value)
        return makeError(StorageErrorCode::Corrupt, fmt::format("the file {} has unknown content", name));
    return std::move(*value);
}

/// Replaces a file by the concatenation of two texts, atomically and durably.
template <FileSystem Files>
[[nodiscard]] StorageResult<void> replaceFile(Files& files, const std::string& name, std::string_view head, std::string_view body = {})
{
    const std::string temporary = name + std::string(internal::temporarySuffix);
    auto file = files.open(temporary, OpenMode::Replace);
    if (!file)
        return tl::unexpected(file.error());
    auto written = files.write(*file, head);
    if (written && !body.empty())
        written = files.write(*file, body);
    if (written)
        written = files.sync(*file);
    files.close(*file);
    if (written)
        written = files.rename(temporary, name);
    if (written)
        written = files.syncFolder();
    // After a failed fsync, the file must not be written again: it is unknown which of its pages count as written.
    if (!written)
        static_cast<void>(files.remove(temporary));
    return written;
}

}
