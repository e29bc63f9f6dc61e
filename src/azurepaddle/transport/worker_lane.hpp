#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace azurepaddle::transport::internal {

/// A fixed number of threads that run jobs from a bounded queue in the order of arrival.
class WorkerLane {
public:
    WorkerLane(std::size_t threads, std::size_t maxQueued);
    WorkerLane(const WorkerLane&) = delete;
    WorkerLane& operator=(const WorkerLane&) = delete;
    /// Calls stop().
    ~WorkerLane();

    /// Queues a job. Returns false if the queue is full or the lane is stopping.
    [[nodiscard]] bool post(std::function<void()> job);

    /// Discards the queued jobs and waits for those that are running.
    void stop();

private:
    void run();

    std::size_t m_maxQueued;
    std::mutex m_mutex;
    std::condition_variable m_wakeup;
    std::deque<std::function<void()>> m_jobs;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

}
