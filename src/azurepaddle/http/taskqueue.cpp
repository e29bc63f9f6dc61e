#include "azurepaddle/http/taskqueue.hpp"

namespace azurepaddle::http {

namespace {

    thread_local bool overflowThread = false;

}

bool isOverflowThread() noexcept
{
    return overflowThread;
}

BoundedTaskQueue::BoundedTaskQueue(std::size_t threads, std::size_t overflowThreads, std::function<void()> onConnectionEnded)
    : m_onConnectionEnded(std::move(onConnectionEnded))
{
    m_threads.reserve(threads + overflowThreads);
    for (std::size_t i = 0; i < threads; ++i)
        m_threads.emplace_back([this] { serve(m_regular, false); });
    for (std::size_t i = 0; i < overflowThreads; ++i)
        m_threads.emplace_back([this] { serve(m_overflow, true); });
}

BoundedTaskQueue::~BoundedTaskQueue()
{
    shutdown();
}

void BoundedTaskQueue::enqueue(std::function<void()> task)
{
    const std::lock_guard lock(m_mutex);
    Lane& lane = m_regular.idle > m_regular.tasks.size() ? m_regular : m_overflow;
    lane.tasks.push_back(std::move(task));
    lane.changed.notify_one();
}

void BoundedTaskQueue::shutdown()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_regular.changed.notify_all();
        m_overflow.changed.notify_all();
    }
    for (auto& thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
}

void BoundedTaskQueue::serve(Lane& lane, bool overflow)
{
    overflowThread = overflow;
    std::unique_lock lock(m_mutex);
    for (;;) {
        ++lane.idle;
        lane.changed.wait(lock, [&] { return m_stopping || !lane.tasks.empty(); });
        --lane.idle;
        if (lane.tasks.empty())
            return;
        const auto task = std::move(lane.tasks.front());
        lane.tasks.pop_front();
        lock.unlock();
        task();
        m_onConnectionEnded();
        lock.lock();
    }
}

}
