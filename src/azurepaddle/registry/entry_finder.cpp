#include "azurepaddle/registry/entry_finder.hpp"

#include <utility>

namespace azurepaddle::registry {

namespace {

    constexpr Duration findTimeout = std::chrono::milliseconds(400);

}

void EntryFinder::find(std::function<void()> onDone)
{
    const std::vector<InstanceAddress> members = m_leader.members();
    const auto search = std::make_shared<Search>(Search { members.size(), std::move(onDone) });
    if (members.empty())
        return search->onDone();
    for (const InstanceAddress& member : members) {
        m_client.send(member, std::string(FindEntriesRequest::method), codec::encode(FindEntriesRequest {}), m_clock.now() + findTimeout, [this, search](transport::CallResult result) {
            asio::post(m_io, [this, search, result = std::move(result)] {
                onReply(search, result ? decodeReplyOrRedirect<FindEntriesReply>(*result).reply : std::nullopt);
            });
        });
    }
}

void EntryFinder::onReply(const std::shared_ptr<Search>& search, const std::optional<FindEntriesReply>& reply)
{
    --search->outstanding;
    std::vector<EntryStatus> others = reply ? reply->entries : std::vector<EntryStatus>();
    std::erase_if(others, [this](const EntryStatus& entry) { return entry.address == m_ownAddress; });
    if (!others.empty() && m_onFound)
        m_onFound(others);
    const bool isDecided = !others.empty() || search->outstanding == 0;
    if (isDecided && search->onDone)
        std::exchange(search->onDone, nullptr)();
}

}
