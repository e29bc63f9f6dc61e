#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace azurepaddle::transport {

/// Messages and body bytes of one method. A request and a response count as one message each.
struct MethodTraffic {
    std::uint64_t messagesIn = 0;
    std::uint64_t messagesOut = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;

    friend bool operator==(const MethodTraffic&, const MethodTraffic&) = default;
};

/// A snapshot of the counters of a TrafficMeter.
struct TrafficSnapshot {
    std::map<std::string, MethodTraffic> methods;
    std::uint64_t wireBytesIn = 0; ///< Bytes read from sockets, with HTTP/2 framing but without TLS, TCP and IP overhead.
    std::uint64_t wireBytesOut = 0; ///< Bytes written to sockets.
    std::uint64_t connectionsOpened = 0;
    std::uint64_t connectionsSilent = 0; ///< Connections closed because a ping was not answered in time.
};

/// Counts the traffic of the servers and clients that share it. Thread-safe.
class TrafficMeter {
public:
    void countIn(std::string_view method, std::size_t bytes);
    void countOut(std::string_view method, std::size_t bytes);
    void countWireIn(std::size_t bytes);
    void countWireOut(std::size_t bytes);
    void countOpened();
    void countSilent();

    [[nodiscard]] TrafficSnapshot snapshot() const;

private:
    [[nodiscard]] MethodTraffic& entry(std::string_view method);

    mutable std::mutex m_mutex;
    TrafficSnapshot m_counters;
};

}
