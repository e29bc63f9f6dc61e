#include "azurepaddle/storage/scratch_store.hpp"

#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <unistd.h>

namespace azurepaddle::storage {

namespace {

    constexpr std::uint64_t segmentBytes = 8U * 1024U * 1024U;
    constexpr std::size_t writeBytes = 256U * 1024U;

    bool writeAll(int file, std::string_view bytes, std::uint64_t offset)
    {
        while (!bytes.empty()) {
            const ssize_t written = ::pwrite(file, bytes.data(), bytes.size(), static_cast<off_t>(offset));
            if (written <= 0)
                return false;
            offset += static_cast<std::uint64_t>(written);
            bytes.remove_prefix(static_cast<std::size_t>(written));
        }
        return true;
    }

}

ScratchStore::ScratchStore(std::string folder, std::string name)
    : m_folder(std::move(folder))
    , m_name(std::move(name))
{
    removeLeftOvers();
}

ScratchStore::~ScratchStore()
{
    clear();
}

std::string ScratchStore::pathOf(std::uint32_t number) const
{
    return fmt::format("{}/{}-{}", m_folder, m_name, number);
}

void ScratchStore::removeLeftOvers() const
{
    if (m_folder.empty())
        return;
    std::error_code error;
    for (const auto& entry : std::filesystem::directory_iterator(m_folder, error)) {
        std::error_code ignored;
        if (entry.path().filename().string().starts_with(m_name + "-"))
            std::filesystem::remove(entry.path(), ignored);
    }
}

void ScratchStore::openSegment()
{
    Segment segment;
    ++m_newest;
    if (!m_folder.empty())
        segment.file = ::open(pathOf(m_newest).c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    m_segments.emplace(m_newest, std::move(segment));
}

/// Writes the unwritten texts to the file. Keeps them in memory if the write fails.
void ScratchStore::write(Segment& segment)
{
    if (segment.file < 0 || !writeAll(segment.file, segment.unwritten, segment.written))
        return;
    segment.written += segment.unwritten.size();
    segment.unwritten = {};
}

ScratchRef ScratchStore::append(std::string_view text)
{
    if (m_segments.empty() || m_segments.at(m_newest).size >= segmentBytes) {
        if (!m_segments.empty())
            write(m_segments.at(m_newest));
        openSegment();
    }
    Segment& segment = m_segments.at(m_newest);
    const ScratchRef ref { m_newest, segment.size, text.size() };
    segment.unwritten.append(text);
    segment.size += text.size();
    segment.live += text.size();
    if (segment.unwritten.size() >= writeBytes)
        write(segment);
    return ref;
}

std::string ScratchStore::read(const ScratchRef& ref) const
{
    const auto found = m_segments.find(ref.segment);
    if (found == m_segments.end())
        return {};
    const Segment& segment = found->second;
    if (ref.offset >= segment.written)
        return segment.unwritten.substr(ref.offset - segment.written, ref.size);
    std::string text(ref.size, '\0');
    std::size_t filled = 0;
    while (filled < text.size()) {
        const ssize_t got = ::pread(segment.file, text.data() + filled, text.size() - filled, static_cast<off_t>(ref.offset + filled));
        if (got <= 0)
            return {};
        filled += static_cast<std::size_t>(got);
    }
    return text;
}

void ScratchStore::release(const ScratchRef& ref)
{
    const auto found = m_segments.find(ref.segment);
    if (found == m_segments.end())
        return;
    found->second.live -= ref.size;
    if (found->second.live > 0 || ref.segment == m_newest)
        return;
    closeSegment(ref.segment, found->second);
    m_segments.erase(found);
}

void ScratchStore::closeSegment(std::uint32_t number, Segment& segment) const
{
    if (segment.file < 0)
        return;
    ::close(segment.file);
    ::unlink(pathOf(number).c_str());
}

void ScratchStore::clear()
{
    for (auto& [number, segment] : m_segments)
        closeSegment(number, segment);
    m_segments.clear();
}

}
