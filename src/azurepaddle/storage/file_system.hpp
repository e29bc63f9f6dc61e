#pragma once

#include "azurepaddle/core/error.hpp"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace azurepaddle::storage {

enum class StorageErrorCode : unsigned char {
    NotFound, ///< The file does not exist.
    Io, ///< A system call failed. Its error text is part of the message.
    NoSpace, ///< The disk or the quota is full.
    Corrupt, ///< Synced bytes are missing or changed.
    TooLarge, ///< A record exceeds maxRecordBytes.
    Closed, ///< An earlier write or fsync failed, after which the store rejects all operations.
    Crashed, ///< The simulated machine is down.
};

using StorageError = LayerError<StorageErrorCode>;

template <typename T>
using StorageResult = tl::expected<T, StorageError>;

/// Handle of an open file. Valid until the file is closed.
using FileHandle = int;

enum class OpenMode : unsigned char {
    Append, ///< Keeps the content and appends to it.
    Replace, ///< Truncates the file to size 0.
};

/// The files of one data folder. Names are relative and contain no separators. Written bytes survive a crash only after
/// sync; created, renamed and removed names only after syncFolder.
template <typename T>
concept FileSystem = requires(T& files, const std::string& name, FileHandle file, std::string_view bytes, std::uint64_t size, OpenMode mode)
{
    {
        files.list()
        } -> std::same_as<StorageResult<std::vector<std::string>>>;
    {
        files.read(name)
        } -> std::same_as<StorageResult<std::string>>;
    {
        files.open(name, mode)
        } -> std::same_as<StorageResult<FileHandle>>;
    {
        files.write(file, bytes)
        } -> std::same_as<StorageResult<void>>;
    {
        files.truncate(file, size)
        } -> std::same_as<StorageResult<void>>;
    {
        files.sync(file)
        } -> std::same_as<StorageResult<void>>;
    files.close(file);
    {
        files.rename(name, name)
        } -> std::same_as<StorageResult<void>>;
    {
        files.remove(name)
        } -> std::same_as<StorageResult<void>>;
    {
        files.syncFolder()
        } -> std::same_as<StorageResult<void>>;
};

}
