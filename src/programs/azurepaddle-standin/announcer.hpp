#pragma once

#include "client.hpp"

#include <condition_variable>
#include <functional>
#include <random>
#include <thread>

namespace azurepaddle::standin {

/// Announces an endpoint every interval to one of the instances, and to the next when one is dead.
class Announcer {
public:
    Announcer(InstanceAccess access, std::chrono::milliseconds interval, std::function<Json()> announcement);
    ~Announcer();
    Announcer(const Announcer&) = delete;
    Announcer& operator=(const Announcer&) = delete;

    /// Stops announcing without a word, as an endpoint does that is cut off.
    void setSilent(bool isSilent);

    /// Stops announcing and tells an instance that the endpoint leaves.
    void leave();

    [[nodiscard]] std::uint64_t announced() const noexcept { return m_announced; }

private:
    void run();
    void stop();

    InstanceCaller m_instances;
    std::chrono::milliseconds m_interval;
    std::function<Json()> m_announcement;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isStopping = false;
    std::atomic<bool> m_isSilent { false };
    std::atomic<std::uint64_t> m_announced { 0 };
    std::thread m_thread;
};

/// Number that differs between two starts of a process: the wall time at its start in milliseconds.
[[nodiscard]] std::uint64_t newIncarnation();

}
