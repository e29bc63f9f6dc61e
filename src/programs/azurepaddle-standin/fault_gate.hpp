#pragma once

#include "server.hpp"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <set>

namespace azurepaddle::standin {

/// Connections that go silent. A silent request blocks its thread until the fault is lifted or the program stops.
/// Thread-safe.
class FaultGate {
public:
    /// Applies the members "silent_accept", "silent_after_tokens" and "silent_count" of a fault, and "silent_open" for
    /// the given client ports.
    void apply(const Json& fault, const std::vector<int>& openPorts);

    /// Blocks while requests of this connection get no answer.
    void passRequest(int remotePort);

    /// Blocks while the stream on this connection is silent. `tokens` were sent on it.
    void passStream(int remotePort, const std::string& requestId, std::uint64_t tokens);

    void stop();

private:
    [[nodiscard]] bool isStreamSilent(int remotePort, const std::string& requestId, std::uint64_t tokens);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isStopping = false;
    bool m_isAcceptSilent = false;
    std::set<int> m_silentPorts;
    std::optional<std::uint64_t> m_silentAfterTokens;
    std::uint64_t m_silentStreamsLeft = 0;
    std::set<std::string> m_silentStreams;
};

}
