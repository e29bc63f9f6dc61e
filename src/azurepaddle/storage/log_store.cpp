#include "azurepaddle/storage/log_store.hpp"

#include "azurepaddle/storage/memory_file_system.hpp"
#include "azurepaddle/storage/posix_file_system.hpp"

namespace azurepaddle::storage {

template class LogStore<MemoryFileSystem>;
template class LogStore<PosixFileSystem>;

}
