#include "azurepaddle/consensus/raft_node.hpp"

#include "azurepaddle/storage/log_store.hpp"
#include "azurepaddle/storage/memory_file_system.hpp"
#include "azurepaddle/storage/posix_file_system.hpp"

namespace azurepaddle::consensus {

template class RaftNode<storage::LogStore<storage::MemoryFileSystem>, Random>;
template class RaftNode<storage::LogStore<storage::PosixFileSystem>, Random>;

}
