#pragma once

#include "client.hpp"
#include "engine_core.hpp"

namespace azurepaddle::standin {

/// Carries out orders to load and switch weights, to load adapters and to change the role. Thread-safe.
class EngineOrders {
public:
    EngineOrders(const EngineOptions& options, EngineCore& core, RanLog& ran);
    ~EngineOrders();
    EngineOrders(const EngineOrders&) = delete;
    EngineOrders& operator=(const EngineOrders&) = delete;

    struct Reply {
        int status = 200;
        Json body;
    };

    /// Throws nlohmann::json::exception if the order is malformed.
    [[nodiscard]] Reply execute(const Json& order);

    void setSwapFault(SwapFault fault, std::uint64_t count);

    /// Highest fencing token seen, the version being fetched, and the last failure.
    [[nodiscard]] Json state() const;

private:
    [[nodiscard]] Reply executeChecked(const Json& order);
    [[nodiscard]] Reply startFetch(std::uint64_t version, bool switchesAfter);
    [[nodiscard]] Reply switchTo(std::uint64_t version);
    void fetch(std::uint64_t version, bool switchesAfter);
    [[nodiscard]] SwapFault takeSwapFault();

    const EngineOptions m_options;
    EngineCore& m_core;
    RanLog& m_ran;
    mutable std::mutex m_mutex;
    std::uint64_t m_highestToken = 0;
    std::uint64_t m_fetching = 0;
    std::string m_failure;
    SwapFault m_swapFault = SwapFault::None;
    std::uint64_t m_swapFaultsLeft = 0;
    std::atomic<bool> m_isStopping { false };
    std::thread m_fetcher;
};

}
