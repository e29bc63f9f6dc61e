#include "figures.hpp"

#include "azurepaddle/cluster/contact_file.hpp"
#include "azurepaddle/storage/memory_file_system.hpp"

namespace azurepaddle::figures {

namespace {

    using cluster::ContactBook;
    using control::ContactRole;

    constexpr std::size_t participants = 4; // Three voters and the learner that stands by.

    struct DeploymentSize {
        std::size_t entries = 0;
        std::size_t stores = 0;
    };

    cluster::Contact contactOf(std::size_t number, ContactRole role)
    {
        return { { fmt::format("10.{}.{}.{}", number % 100, number / 100 % 100, number / 10000), 7720 }, role };
    }

    /// Records all instances of a deployment as heard from.
    void fill(ContactBook& book, const DeploymentSize& size, TimePoint now)
    {
        for (std::size_t i = 0; i < size.entries + size.stores; ++i)
            book.recordHeard(contactOf(i, i < size.entries ? ContactRole::Entry : ContactRole::Store), now);
    }

    /// Size of the report of a store instance that hears from this many entries and from the participants.
    std::size_t reportBytes(std::size_t heardEntries, const ContactBook& book, TimePoint now)
    {
        ContactBook heard;
        fill(heard, { heardEntries, participants }, now);
        return codec::encode(control::ContactReport { InstanceId("storage-1@10.0.0.1:7720#0123456789ab"), book.digest(), heard.heard(now), {}, {} }).size();
    }

    void printRow(const DeploymentSize& size)
    {
        const SystemClock clock;
        const TimePoint now = clock.now();
        storage::MemoryFileSystem files(1);
        cluster::ContactFile<storage::MemoryFileSystem> file(files, true, now);
        fill(file.book(), size, now);
        file.maintain(now + std::chrono::seconds(1));
        const ContactBook& book = file.book();
        const std::size_t participantReport = reportBytes(size.entries / participants, book, now);
        const std::size_t spareReport = reportBytes(0, book, now);
        const std::size_t reports = (participants - 1) * participantReport + (size.stores - participants) * spareReport;
        // One exchange: the digests of the buckets, and the contacts of one bucket in both directions.
        const auto bucket = book.inBuckets({ 0 }, now);
        const std::size_t exchange = codec::encode(book.bucketDigests()).size() + 2 * codec::encode(bucket).size();
        const auto written = files.read(cluster::internal::contactsFile);
        require(written);
        fmt::print("{:>8} {:>7} {:>8} {:>12} {:>8} {:>10} {:>12} {:>12}\n", size.entries, size.stores, written->size(), participantReport, spareReport, reports, exchange, exchange * (size.stores - 1));
    }

}

int runContacts(const Options&)
{
    fmt::print("Bytes of the contacts of store instances: the file; the report of a participant and of another store instance, all\n"
               "reports of a second; the exchange of one changed contact with one store instance and with all\n");
    fmt::print("{:>8} {:>7} {:>8} {:>12} {:>8} {:>10} {:>12} {:>12}\n", "entries", "stores", "file", "participant", "other", "reports/s", "change", "change, all");
    for (const DeploymentSize& size : { DeploymentSize { 2, 7 }, DeploymentSize { 165, 15 }, DeploymentSize { 1736, 158 } })
        printRow(size);
    return 0;
}

}
