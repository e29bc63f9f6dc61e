#pragma once

#include "azurepaddle/core/clock.hpp"

#include <asio.hpp>
#include <memory>

namespace azurepaddle {

/// Runs an action on the loop once, after a delay. It cannot be cancelled: the action must check whether it still applies.
template <typename Action>
void runAfter(asio::io_context& io, Duration delay, Action action)
{
    const auto timer = std::make_shared<asio::steady_timer>(io, delay);
    timer->async_wait([timer, action](std::error_code) { action(); });
}

}
