#pragma once

#include "azurepaddle/core/clock.hpp"

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>

namespace azurepaddle::registry {

/// Tells an entry instance when the endpoints that it has received include a change that another instance knows. An
/// instance that was cut off or stood still learns such changes late. Not thread-safe.
class DirectoryProgress {
public:
    using Callback = std::function<void(bool isReached)>;

    explicit DirectoryProgress(asio::io_context& io)
        : m_io(io)
    {
    }

    /// The endpoints include all changes up to this revision of the directory.
    [[nodiscard]] std::uint64_t revision() const noexcept { return m_revision; }
    /// Records that the endpoints include all changes up to a revision of the directory.
    void advanceTo(std::uint64_t revision);
    /// Calls back once the endpoints include the changes up to a revision, or at the deadline. The call may come before
    /// this returns.
    void wait(std::uint64_t revision, TimePoint deadline, Callback onDone);

private:
    struct Waiter {
        std::uint64_t revision = 0;
        std::unique_ptr<asio::steady_timer> timer;
        Callback onDone;
    };

    asio::io_context& m_io;
    const SystemClock m_clock {};
    std::uint64_t m_revision = 0;
    std::list<std::shared_ptr<Waiter>> m_waiters;
};

}
