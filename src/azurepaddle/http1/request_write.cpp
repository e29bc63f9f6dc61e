#include "azurepaddle/http1/request_write.hpp"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

namespace azurepaddle::http1 {

namespace {

    /// Whether both directions of a connection have ended. A peer that only ends its own side leaves the other one open.
    bool isClosed(int socket) noexcept
    {
        pollfd state { socket, 0, 0 };
        return ::poll(&state, 1, 0) != 0;
    }

    /// Whether the peer's system has not acknowledged all bytes that were written.
    bool hasUnacknowledged(int socket) noexcept
    {
        int bytes = 0;
        return ::ioctl(socket, SIOCOUTQ, &bytes) == 0 && bytes > 0;
    }

}

ConnectionEnd RequestWrite::meaningOfEnd(int socket) const noexcept
{
    if (m_state == State::Failed)
        return ConnectionEnd::Broken;
    if (m_state == State::Written && !hasUnacknowledged(socket))
        return ConnectionEnd::Complete;
    return isClosed(socket) ? ConnectionEnd::Broken : ConnectionEnd::Undecided;
}

}
