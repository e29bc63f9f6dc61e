#pragma once

#include "azurepaddle/codec/codec.hpp"
#include "azurepaddle/core/clock.hpp"
#include "azurepaddle/core/ident.hpp"

#include <map>
#include <string>
#include <vector>

namespace azurepaddle::registry {

/// What an entry instance states about itself when it polls.
struct EntryStatus {
    std::string address; ///< Peer address; empty if other entries cannot reach it.
    DataCentreName dataCentre;
    bool takesRequests = false; ///< Accepts requests of entries that are cut off from the endpoints.

    friend bool operator==(const EntryStatus&, const EntryStatus&) = default;
    MSGPACK_DEFINE(address, dataCentre, takesRequests)
};

/// The entry instances that polled this store instance lately. Local, not replicated.
class EntryList {
public:
    void record(const EntryStatus& status, TimePoint now);
    /// The entries that take requests, at most `maxListed` of them, others with each call.
    [[nodiscard]] std::vector<EntryStatus> takingRequests(TimePoint now);

    static constexpr std::size_t maxListed = 32;

private:
    struct Entry {
        EntryStatus status;
        TimePoint polledAt;
    };

    std::map<std::string, Entry> m_entries; ///< By address.
    std::size_t m_rotation = 0;
};

}
