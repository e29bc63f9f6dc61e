#pragma once

#include "azurepaddle/core/log.hpp"
#include "azurepaddle/registry/leader_client.hpp"
#include "azurepaddle/registry/requests.hpp"

#include <memory>

namespace azurepaddle::registry {

/// Finds other entry instances that take requests, by asking all store instances. Each of them knows the entries that
/// poll it.
class EntryFinder {
public:
    /// The own address is left out of what is found. The members are those of the leader client.
    EntryFinder(transport::PeerClient& client, const LeaderClient& leader, asio::io_context& io, std::string ownAddress)
        : m_client(client)
        , m_leader(leader)
        , m_io(io)
        , m_ownAddress(std::move(ownAddress))
    {
    }

    /// Called with the entries that one store instance named.
    void setOnFound(std::function<void(const std::vector<EntryStatus>&)> onFound) { m_onFound = std::move(onFound); }
    /// Asks all store instances. Calls back once one of them has named an entry, or none of them has.
    void find(std::function<void()> onDone);

private:
    struct Search {
        std::size_t outstanding = 0;
        std::function<void()> onDone; ///< Null once called.
    };

    void onReply(const std::shared_ptr<Search>& search, const std::optional<FindEntriesReply>& reply);

    transport::PeerClient& m_client;
    const LeaderClient& m_leader;
    asio::io_context& m_io;
    const std::string m_ownAddress;
    const SystemClock m_clock {};
    std::function<void(const std::vector<EntryStatus>&)> m_onFound;
};

}
