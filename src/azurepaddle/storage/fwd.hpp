#pragma once

namespace azurepaddle::storage {

class MemoryFileSystem;
class PosixFileSystem;
enum class StorageErrorCode : unsigned char;
struct LoadedState;
struct LogRecord;
struct Snapshot;
struct Vote;

}
