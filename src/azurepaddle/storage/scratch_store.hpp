#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace azurepaddle::storage {

/// Position of a stored text.
struct ScratchRef {
    std::uint32_t segment = 0;
    std::uint64_t offset = 0;
    std::uint64_t size = 0; ///< In bytes.

    friend bool operator==(const ScratchRef&, const ScratchRef&) = default;
};

/// Stores texts outside of memory, in files that are never synced and are removed at the next start. Callers must be able
/// to rebuild the texts, for example from a log. Texts are written in large blocks, because each write waits for the disk.
/// If a file cannot be written, they are kept in memory. Not thread-safe.
class ScratchStore {
public:
    /// An empty folder name keeps everything in memory. Stores of one folder need different names, of letters.
    explicit ScratchStore(std::string folder, std::string name = "scratch");
    ScratchStore(const ScratchStore&) = delete;
    ScratchStore& operator=(const ScratchStore&) = delete;
    ~ScratchStore();

    [[nodiscard]] ScratchRef append(std::string_view text);
    /// Returns the text; empty if the file cannot be read.
    [[nodiscard]] std::string read(const ScratchRef& ref) const;
    /// Releases a text. A file without texts is removed.
    void release(const ScratchRef& ref);
    void clear();

private:
    struct Segment {
        int file = -1; ///< -1: the texts are in memory.
        std::string unwritten; ///< The last part of the texts, not in the file yet.
        std::uint64_t written = 0; ///< Bytes in the file.
        std::uint64_t size = 0;
        std::uint64_t live = 0; ///< Total size in bytes of the texts that were not released.
    };

    [[nodiscard]] std::string pathOf(std::uint32_t number) const;
    void removeLeftOvers() const;
    void openSegment();
    static void write(Segment& segment);
    void closeSegment(std::uint32_t number, Segment& segment) const;

    std::string m_folder;
    std::string m_name;
    std::map<std::uint32_t, Segment> m_segments;
    std::uint32_t m_newest = 0;
};

}
