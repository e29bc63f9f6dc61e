#include "azurepaddle/registry/directory_progress.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace azurepaddle::registry {

void DirectoryProgress::advanceTo(std::uint64_t revision)
{
    m_revision = std::max(m_revision, revision);
    std::vector<std::shared_ptr<Waiter>> reached;
    std::erase_if(m_waiters, [&](const std::shared_ptr<Waiter>& waiter) {
        if (waiter->revision > m_revision)
            return false;
        reached.push_back(waiter);
        return true;
    });
    for (const std::shared_ptr<Waiter>& waiter : reached) {
        waiter->timer->cancel();
        std::exchange(waiter->onDone, nullptr)(true);
    }
}

void DirectoryProgress::wait(std::uint64_t revision, TimePoint deadline, Callback onDone)
{
    if (m_revision >= revision)
        return onDone(true);
    auto waiter = std::make_shared<Waiter>();
    waiter->revision = revision;
    waiter->timer = std::make_unique<asio::steady_timer>(m_io, std::max(deadline - m_clock.now(), Duration::zero()));
    waiter->onDone = std::move(onDone);
    // A timer that has fired runs its handler although it was cancelled meanwhile.
    waiter->timer->async_wait([this, waiter](std::error_code error) {
        if (error || !waiter->onDone)
            return;
        m_waiters.remove(waiter);
        std::exchange(waiter->onDone, nullptr)(false);
    });
    m_waiters.push_back(std::move(waiter));
}

}
