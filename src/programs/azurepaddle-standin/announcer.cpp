#include "announcer.hpp"

#include "azurepaddle/core/clock.hpp"

#include <iostream>

namespace azurepaddle::standin {

Announcer::Announcer(InstanceAccess access, std::chrono::milliseconds interval, std::function<Json()> announcement)
    : m_instances(std::move(access), CallLimits { std::chrono::milliseconds(300), std::chrono::milliseconds(1000) })
    , m_interval(interval)
    , m_announcement(std::move(announcement))
    , m_thread([this] { run(); })
{
}

Announcer::~Announcer()
{
    stop();
}

void Announcer::setSilent(bool isSilent)
{
    m_isSilent = isSilent;
}

void Announcer::stop()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void Announcer::leave()
{
    stop();
    const Json announcement = m_announcement();
    const auto reply = m_instances.post("/v1/endpoints/leave", { { "id", announcement["id"] }, { "incarnation", announcement["incarnation"] } });
    if (!reply)
        std::cerr << "no instance accepted the leave: " << reply.error() << "\n";
}

void Announcer::run()
{
    bool wasRefused = false;
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        lock.unlock();
        if (!m_isSilent) {
            const auto reply = m_instances.post("/v1/endpoints/announce", m_announcement());
            const bool isRefused = reply && reply->status >= 400;
            if (isRefused && !wasRefused)
                std::cerr << "announcement refused with status " << reply->status << ": " << reply->body << "\n";
            wasRefused = isRefused;
            m_announced += reply && !isRefused ? 1 : 0;
        }
        lock.lock();
        m_changed.wait_for(lock, m_interval, [&] { return m_isStopping; });
    }
}

std::uint64_t newIncarnation()
{
    return static_cast<std::uint64_t>(SystemClock().wallNow().time_since_epoch().count());
}

}
