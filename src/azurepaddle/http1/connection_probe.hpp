#pragma once

#include "azurepaddle/core/address.hpp"
#include "azurepaddle/core/clock.hpp"

#include <asio.hpp>
#include <functional>

namespace azurepaddle::http1 {

/// Outcome of an attempt to connect to an address.
enum class ProbeOutcome : unsigned char {
    Accepted, ///< A process accepts connections.
    Refused, ///< The machine responds, but no process listens on the port.
    NoAnswer, ///< No response within the timeout.
};

using ProbeCallback = std::function<void(ProbeOutcome)>;

/// Opens a connection, closes it and reports the outcome. The callback is not called before this returns.
void probeConnection(asio::io_context& io, const InstanceAddress& address, Duration timeout, ProbeCallback onOutcome);

}
