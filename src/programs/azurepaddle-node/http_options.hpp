#pragma once

#include "azurepaddle/config/node_settings.hpp"
#include "azurepaddle/core/log.hpp"
#include "azurepaddle/gateway/crash_watch.hpp"
#include "azurepaddle/http1/client.hpp"
#include "azurepaddle/http1/server.hpp"
#include "azurepaddle/metrics/registry.hpp"

namespace azurepaddle::node {

/// Maximum sizes of the responses of endpoints.
[[nodiscard]] inline http1::MessageLimits endpointMessageLimits()
{
    return { 32U * 1024U, 64U * 1024U * 1024U };
}

/// A probe that detects whether an endpoint still accepts connections.
[[nodiscard]] inline gateway::CrashWatch::Probe endpointProbe(asio::io_context& io)
{
    constexpr Duration timeout = std::chrono::milliseconds(300);
    return [&io, timeout](const InstanceAddress& address, http1::ProbeCallback onOutcome) {
        http1::probeConnection(io, address, timeout, std::move(onOutcome));
    };
}

/// Counts and logs the answers that are not valid HTTP or exceed the limits, whoever sent the request.
inline void observeInvalidAnswers(http1::ClientPool& pool, metrics::Registry& metrics, const Log& log)
{
    pool.setInvalidAnswerObserver([&metrics, &log](const InstanceAddress& address, const std::string& cause) {
        metrics.counter("http_invalid_answers_total").add();
        log.info("address={} outcome=invalid-answer cause=\"{}\"", formatAddress(address), cause);
    });
}

/// Memory for answers of endpoints that are being received, in bytes. An answer is copied while it is forwarded.
[[nodiscard]] inline std::size_t maxAnswerBytes(const config::NodeSettings& settings)
{
    constexpr std::uint64_t memoryShare = 8;
    return settings.bounds.memory / memoryShare;
}

/// Bounds of the bodies that clients send and of the answers that they have not taken, as shares of the memory. A client
/// address may hold three quarters of the room for bodies: a body of 32 MiB fits into it at 120 MB of memory, and other
/// clients keep the rest.
[[nodiscard]] inline http1::BodyBudgetLimits bodyBudgetLimits(const config::NodeSettings& settings)
{
    http1::BodyBudgetLimits limits;
    const std::uint64_t memory = settings.bounds.memory;
    limits.requestBytes = memory / 8 * 3;
    limits.clientBytes = limits.requestBytes / 4 * 3;
    limits.reserveBytes = memory / 32;
    limits.answerBytes = memory / 8;
    limits.decodeBytes = memory / 5 * 4;
    return limits;
}

/// Listens on an address of the settings; does nothing if it is empty. Logs the reason and returns false if the address
/// is in use.
[[nodiscard]] inline bool listenOn(http1::Server& server, const std::string& setting, const Log& log)
{
    const auto address = parseAddress(setting);
    const auto listening = address ? server.listen(*address) : tl::expected<void, std::string>();
    if (!listening)
        log.error("{}", listening.error());
    return listening.has_value();
}

}
