#pragma once

#include "azurepaddle/cluster/contact_book.hpp"
#include "azurepaddle/core/log.hpp"
#include "azurepaddle/storage/framed_file.hpp"

#include <algorithm>
#include <utility>

namespace azurepaddle::cluster {

namespace internal {

    constexpr auto contactsFile = "contacts";

    /// Content of the contacts file.
    struct ContactsRecord {
        bool hasKnownGroup = false;
        std::vector<control::ContactRecord> contacts;
        MSGPACK_DEFINE(hasKnownGroup, contacts)
    };

}

/// What a store instance remembers on its disk about the other instances of its deployment: its contacts, and whether it
/// ever knew a group. The file is only replaced atomically, so a power loss leaves the content of one write or of the
/// next. A lost or damaged file costs the contacts; whether a group was known is then assumed, because only an instance
/// that certainly knew none may help to bootstrap one. Not thread-safe.
template <storage::FileSystem Files>
class ContactFile {
public:
    /// The file is written at most this often, except when the first group becomes known.
    static constexpr Duration minWriteInterval = std::chrono::seconds(1);
    /// An unchanged file is written this often, so that the time since a contact was heard from survives restarts.
    static constexpr Duration maxWriteInterval = std::chrono::hours(1);

    /// Reads the file. A new folder gets one, which must happen before the folder gets anything else: a folder with other
    /// files but without this one has lost it.
    ContactFile(Files& files, bool isNewFolder, TimePoint now)
        : m_files(files)
        , m_nextWrite(now + maxWriteInterval)
    {
        read(isNewFolder, now);
        static_cast<void>(m_book.takeChanged());
    }
    ContactFile(const ContactFile&) = delete;
    ContactFile& operator=(const ContactFile&) = delete;

    /// The remembered contacts, which the caller changes.
    [[nodiscard]] ContactBook& book() noexcept { return m_book; }

    /// Whether the instance received the description of a group since its folder was created, or may have.
    [[nodiscard]] bool hasKnownGroup() const noexcept { return m_hasKnownGroup; }

    /// Records durably that a group is known. Must be called before another instance can learn of it from this one.
    void recordKnownGroup(TimePoint now)
    {
        if (!std::exchange(m_hasKnownGroup, true))
            write(now);
    }

    /// Writes the file if that is due.
    void maintain(TimePoint now)
    {
        m_isUnsaved = m_book.takeChanged() || m_isUnsaved;
        if ((m_isUnsaved && now >= m_earliestWrite) || now >= m_nextWrite)
            write(now);
    }

private:
    void read(bool isNewFolder, TimePoint now)
    {
        auto record = storage::readFramed<internal::ContactsRecord>(m_files, internal::contactsFile);
        if (!record && isNewFolder && record.error().code() == storage::StorageErrorCode::NotFound)
            return write(now);
        if (!record) {
            m_hasKnownGroup = true;
            m_isUnsaved = true;
            return m_log.warning("contacts are not remembered: {}", record.error().message());
        }
        m_hasKnownGroup = record->hasKnownGroup;
        mergeSilent(std::move(record->contacts), now);
        m_log.info("contacts remembered: stores={} entries={} knows-group={}", m_book.count(control::ContactRole::Store), m_book.count(control::ContactRole::Entry), m_hasKnownGroup);
    }

    /// Nobody was heard from since the start, so that all contacts are called unless they are heard from.
    void mergeSilent(std::vector<control::ContactRecord> contacts, TimePoint now)
    {
        constexpr std::uint32_t minSilence = ContactBook::silenceTimeout / std::chrono::seconds(1);
        for (control::ContactRecord& contact : contacts)
            contact.silentSeconds = std::max(contact.silentSeconds, minSilence);
        m_book.merge(contacts, now);
    }

    /// A failed write is repeated. Until it succeeds, a restart costs the contacts that were added since.
    void write(TimePoint now)
    {
        const internal::ContactsRecord record { m_hasKnownGroup, m_book.all(now) };
        const auto written = storage::replaceFile(m_files, internal::contactsFile, codec::frame(codec::encode(record)));
        if (!written)
            m_log.warning("contacts cannot be written: {}", written.error().message());
        static_cast<void>(m_book.takeChanged());
        m_isUnsaved = !written;
        m_earliestWrite = now + minWriteInterval;
        m_nextWrite = now + maxWriteInterval;
    }

    Files& m_files;
    ContactBook m_book;
    const Log m_log { "cluster" };
    bool m_hasKnownGroup = false;
    bool m_isUnsaved = false;
    TimePoint m_earliestWrite {};
    TimePoint m_nextWrite;
};

}
