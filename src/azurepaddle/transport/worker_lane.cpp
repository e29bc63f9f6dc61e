#include "azurepaddle/transport/worker_lane.hpp"

#include <utility>

namespace azurepaddle::transport::internal {

WorkerLane::WorkerLane(std::size_t threads, std::size_t maxQueued)
    : m_maxQueued(maxQueued)
{
    for (std::size_t i = 0; i < threads; ++i)
        m_threads.emplace_back([this] { run(); });
}

WorkerLane::~WorkerLane()
{
    stop();
}

bool WorkerLane::post(std::function<void()> job)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping || m_jobs.size() >= m_maxQueued)
            return false;
        m_jobs.push_back(std::move(job));
    }
    m_wakeup.notify_one();
    return true;
}

void WorkerLane::stop()
{
    std::deque<std::function<void()>> dropped;
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        dropped.swap(m_jobs);
    }
    m_wakeup.notify_all();
    for (std::thread& thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
}

void WorkerLane::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_wakeup.wait(lock, [this] { return m_stopping || !m_jobs.empty(); });
        if (m_stopping)
            return;
        const std::function<void()> job = std::move(m_jobs.front());
        m_jobs.pop_front();
        lock.unlock();
        job();
        lock.lock();
    }
}

}
