#pragma once

#include "server.hpp"

#include <memory>
#include <mutex>
#include <tl/expected.hpp>
#include <vector>

namespace azurepaddle::standin {

/// How to reach the instances of azurepaddle.
struct InstanceAccess {
    std::vector<std::string> addresses; ///< ip:port or https://ip:port
    std::string token;
    std::string tlsAuthority; ///< Certificate file; empty to check no certificate.
};

/// Time limits of one call.
struct CallLimits {
    std::chrono::milliseconds connect { 500 };
    std::chrono::milliseconds read { 2000 };
};

struct HttpReply {
    int status = 0;
    httplib::Headers headers;
    std::string body;

    /// The body as JSON, or null if it is none.
    [[nodiscard]] Json json() const;
};

/// A connection to one instance. Not thread-safe.
[[nodiscard]] std::unique_ptr<httplib::Client> makeClient(const InstanceAccess& access, const std::string& address, const CallLimits& limits);

/// Calls instances one after the other until one answers, and starts with the one that answered last. Thread-safe.
class InstanceCaller {
public:
    InstanceCaller(InstanceAccess access, CallLimits limits);

    /// The reply of the first instance that gave one with a status below 500, or the last failure.
    [[nodiscard]] tl::expected<HttpReply, std::string> post(const std::string& path, const Json& body);

    /// Makes the next call start at another instance.
    void moveOn();

private:
    InstanceAccess m_access;
    CallLimits m_limits;
    std::mutex m_mutex;
    std::size_t m_current = 0;
};

/// One HTTP call over a new connection.
[[nodiscard]] tl::expected<HttpReply, std::string> callOnce(httplib::Client& client, const std::string& method, const std::string& path, const httplib::Headers& headers, const std::string& body);

}
