#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace azurepaddle::pipeline {

/// A bounded queue between one producer thread and one consumer thread. Either side may close it.
template <typename T>
class Channel {
public:
    /// The capacity limits the memory used while the consumer is slow. It must not be 0.
    explicit Channel(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// Blocks while the channel is full. Returns false and discards the value if the channel is closed.
    bool push(T value)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return m_closed || m_values.size() < m_capacity; });
        if (m_closed)
            return false;
        m_values.push_back(std::move(value));
        m_changed.notify_all();
        return true;
    }

    /// Blocks until a value is available. Returns no value once the channel is closed and empty.
    [[nodiscard]] std::optional<T> pop()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return m_closed || !m_values.empty(); });
        if (m_values.empty())
            return std::nullopt;
        T value = std::move(m_values.front());
        m_values.pop_front();
        m_changed.notify_all();
        return value;
    }

    /// Closes the channel. Values pushed before can still be popped.
    void close()
    {
        const std::lock_guard lock(m_mutex);
        m_closed = true;
        m_changed.notify_all();
    }

private:
    const std::size_t m_capacity;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<T> m_values;
    bool m_closed = false;
};

}
