#include "azurepaddle/storage/scratch_store.hpp"
#include "azurepaddle/core/digest.hpp"

#include <criterion/criterion.h>
#include <filesystem>

using namespace azurepaddle;
using namespace azurepaddle::storage;

namespace {

struct Folder {
    std::filesystem::path path = std::filesystem::temp_directory_path() / ("azurepaddle-scratch-" + randomHex(6));
    Folder() { std::filesystem::create_directories(path); }
    ~Folder() { std::filesystem::remove_all(path); }

    [[nodiscard]] std::size_t files() const
    {
        return static_cast<std::size_t>(std::distance(std::filesystem::directory_iterator(path), {}));
    }
};

const std::string large(5U * 1024U * 1024U, 'x');

}

// Guards against texts that are mixed or lost between the files.
Test(ScratchStore, manyTexts_appended_areReadBack)
{
    const Folder folder;
    ScratchStore store(folder.path.string());
    const auto first = store.append("first");
    const auto empty = store.append("");
    const auto second = store.append(large);
    const auto third = store.append(large);
    const auto fourth = store.append("fourth");
    cr_assert(store.read(first) == "first");
    cr_assert(store.read(empty).empty());
    cr_assert(store.read(second) == large && store.read(third) == large);
    cr_assert(store.read(fourth) == "fourth");
    cr_assert(folder.files() == 2);
}

// Guards against a disk that is filled by released texts.
Test(ScratchStore, textsReleased_fileIsRemoved)
{
    const Folder folder;
    ScratchStore store(folder.path.string());
    const auto first = store.append(large);
    const auto second = store.append(large);
    static_cast<void>(store.append("next file"));
    store.release(first);
    cr_assert(folder.files() == 2);
    store.release(second);
    cr_assert(folder.files() == 1);
}

// Guards against files of an earlier process that are never removed.
Test(ScratchStore, filesOfEarlierProcess_areRemovedAtStart)
{
    const Folder folder;
    std::filesystem::copy_file("/proc/self/cmdline", folder.path / "scratch-7");
    const ScratchStore store(folder.path.string());
    cr_assert(folder.files() == 0);
}

// Guards against a text that is lost because the disk is full.
Test(ScratchStore, folderNotWritable_textsStayInMemory)
{
    ScratchStore store("/nonexistent/folder");
    const auto ref = store.append("text");
    cr_assert(store.read(ref) == "text");
    ScratchStore inMemory("");
    cr_assert(inMemory.read(inMemory.append("text")) == "text");
}
