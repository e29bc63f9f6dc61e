#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace azurepaddle::pipeline {

/// A thread pool that starts threads on demand, up to a limit. It has no backlog: a task is accepted only if a thread
/// is free to run it.
class BackgroundPool {
public:
    explicit BackgroundPool(std::size_t maxThreads)
        : m_maxThreads(maxThreads)
    {
    }

    ~BackgroundPool()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isStopping = true;
            m_wakeUp.notify_all();
        }
        for (auto& thread : m_threads)
            thread.join();
    }

    BackgroundPool(const BackgroundPool&) = delete;
    BackgroundPool& operator=(const BackgroundPool&) = delete;

    /// Runs the task in the background. Returns false, without running it, if all threads are busy.
    [[nodiscard]] bool run(std::function<void()> task)
    {
        const std::lock_guard lock(m_mutex);
        if (m_idleThreads > m_tasks.size()) {
            m_tasks.push_back(std::move(task));
            m_wakeUp.notify_one();
            return true;
        }
        if (m_threads.size() >= m_maxThreads)
            return false;
        m_tasks.push_back(std::move(task));
        m_threads.emplace_back([this] { runTasks(); });
        return true;
    }

private:
    void runTasks()
    {
        std::unique_lock lock(m_mutex);
        for (;;) {
            ++m_idleThreads;
            m_wakeUp.wait(lock, [&] { return m_isStopping || !m_tasks.empty(); });
            --m_idleThreads;
            if (m_tasks.empty())
                return;
            const auto task = std::move(m_tasks.front());
            m_tasks.pop_front();
            lock.unlock();
            task();
            lock.lock();
        }
    }

    const std::size_t m_maxThreads;
    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::deque<std::function<void()>> m_tasks;
    std::size_t m_idleThreads = 0;
    bool m_isStopping = false;
    std::vector<std::thread> m_threads;
};

}
