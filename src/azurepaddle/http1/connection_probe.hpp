#pragma once

#include "azurepaddle/core/address.hpp"
#include "azurepaddle/core/clock.hpp"

#include <asio.hpp>
#include <functional>

namespace azurepaddle::http1 {

/// What an attempt to connect to an address shows.
enum class ProbeOutcome : unsigned char {
    Accepted, ///< A process listens there.
    Refused, ///< The machine answers, and no process listens there.
    NoAnswer, ///< Nothing came back in time.
};

using ProbeCallback = std::function<void(ProbeOutcome)>;

/// Opens a connection, closes it again and says what that showed. The callback does not come before this returns.
void probeConnection(asio::io_context& io, const InstanceAddress& address, Duration timeout, ProbeCallback onOutcome);

}
