#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <httplib.h>
#include <mutex>
#include <thread>
#include <vector>

namespace azurepaddle::http {

/// True while the current thread handles a connection above the limit. Its requests are refused at once.
[[nodiscard]] bool isOverflowThread() noexcept;

/// Threads that each serve one connection at a time. If all of them are busy, connections are assigned to a few overflow
/// threads, which refuse all requests, so that callers need not wait for a response.
class BoundedTaskQueue final : public httplib::TaskQueue {
public:
    /// The function is called on the thread of a connection after the connection has ended.
    BoundedTaskQueue(std::size_t threads, std::size_t overflowThreads, std::function<void()> onConnectionEnded);
    ~BoundedTaskQueue() override;

    BoundedTaskQueue(const BoundedTaskQueue&) = delete;
    BoundedTaskQueue& operator=(const BoundedTaskQueue&) = delete;

    void enqueue(std::function<void()> task) override;

    /// Runs the queued tasks and joins the threads.
    void shutdown() override;

private:
    struct Lane {
        std::deque<std::function<void()>> tasks;
        std::size_t idle = 0;
        std::condition_variable changed;
    };

    void serve(Lane& lane, bool overflow);

    std::function<void()> m_onConnectionEnded;
    std::mutex m_mutex;
    Lane m_regular;
    Lane m_overflow;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

}
