#include "engine_orders.hpp"

#include <fmt/format.h>

namespace azurepaddle::standin {

EngineOrders::EngineOrders(const EngineOptions& options, EngineCore& core, RanLog& ran)
    : m_options(options)
    , m_core(core)
    , m_ran(ran)
{
}

EngineOrders::~EngineOrders()
{
    m_isStopping = true;
    if (m_fetcher.joinable())
        m_fetcher.join();
}

EngineOrders::Reply EngineOrders::execute(const Json& order)
{
    const auto token = order.at("fencing_token").get<std::uint64_t>();
    bool isStale = false;
    std::uint64_t highest = 0;
    {
        const std::scoped_lock lock(m_mutex);
        isStale = token < m_highestToken;
        m_highestToken = std::max(m_highestToken, token);
        highest = m_highestToken;
    }
    const bool isRefused = isStale && m_options.checksFencing;
    const Json entry { { "order", order }, { "stale", isStale }, { "refused", isRefused } };
    m_ran.record(entry, { { "orders", order.at("action").get<std::string>() + (isRefused ? " refused" : isStale ? " stale"
                                                                                                                : "") } });
    if (isRefused)
        return { 409, { { "result", "stale-token" }, { "highest", highest } } };
    return executeChecked(order);
}

EngineOrders::Reply EngineOrders::executeChecked(const Json& order)
{
    const auto action = order.at("action").get<std::string>();
    if (action == "prefetch" || action == "load")
        return startFetch(order.at("version").get<std::uint64_t>(), action == "load");
    if (action == "switch")
        return switchTo(order.at("version").get<std::uint64_t>());
    if (action == "load-adapter") {
        const bool isAdded = m_core.addAdapter(order.at("adapter").get<std::string>());
        return { isAdded ? 200 : 409, { { "result", isAdded ? "done" : "no-room" } } };
    }
    if (action == "unload-adapter") {
        m_core.removeAdapter(order.at("adapter").get<std::string>());
        return { 200, { { "result", "done" } } };
    }
    if (action == "role") {
        m_core.setRole(order.at("role").get<std::string>());
        return { 200, { { "result", "done" } } };
    }
    return { 400, { { "result", "unknown-action" }, { "action", action } } };
}

EngineOrders::Reply EngineOrders::startFetch(std::uint64_t version, bool switchesAfter)
{
    const auto loaded = m_core.weights().loaded;
    if (std::find(loaded.begin(), loaded.end(), version) != loaded.end())
        return switchesAfter ? switchTo(version) : Reply { 200, { { "result", "done" } } };
    const std::scoped_lock lock(m_mutex);
    if (m_fetching == version)
        return { 202, { { "result", "started" } } };
    if (m_fetching != 0)
        return { 409, { { "result", "busy" }, { "fetching", m_fetching } } };
    if (m_fetcher.joinable())
        m_fetcher.join();
    m_fetching = version;
    m_failure.clear();
    m_fetcher = std::thread([this, version, switchesAfter] { fetch(version, switchesAfter); });
    return { 202, { { "result", "started" } } };
}

void EngineOrders::fetch(std::uint64_t version, bool switchesAfter)
{
    std::string failure;
    if (!m_options.store.empty()) {
        const auto client = makeClient({}, m_options.store, { std::chrono::milliseconds(1000), std::chrono::seconds(30) });
        std::uint64_t bytes = 0;
        const auto result = client->Get(fmt::format("/weights/{}/{}", m_options.service, version), [&](const char*, std::size_t size) {
            bytes += size;
            return !m_isStopping.load();
        });
        if (!result)
            failure = fmt::format("fetching version {} failed after {} bytes: {}", version, bytes, httplib::to_string(result.error()));
        else if (result->status != 200)
            failure = fmt::format("the store answered {} for version {}", result->status, version);
    }
    if (failure.empty()) {
        m_core.addLoaded(version);
        if (switchesAfter && switchTo(version).status != 200)
            failure = fmt::format("switching to version {} failed", version);
    }
    const std::scoped_lock lock(m_mutex);
    m_fetching = 0;
    m_failure = failure;
}

EngineOrders::Reply EngineOrders::switchTo(std::uint64_t version)
{
    const SwapFault fault = takeSwapFault();
    if (fault == SwapFault::Fail)
        return { 500, { { "result", "failed" } } };
    if (!m_core.switchTo(version, fault == SwapFault::Partial))
        return { 409, { { "result", "not-loaded" } } };
    return { 200, { { "result", "done" } } };
}

void EngineOrders::setSwapFault(SwapFault fault, std::uint64_t count)
{
    const std::scoped_lock lock(m_mutex);
    m_swapFault = fault;
    m_swapFaultsLeft = count;
}

SwapFault EngineOrders::takeSwapFault()
{
    const std::scoped_lock lock(m_mutex);
    if (m_swapFaultsLeft == 0)
        return SwapFault::None;
    --m_swapFaultsLeft;
    return m_swapFault;
}

Json EngineOrders::state() const
{
    const std::scoped_lock lock(m_mutex);
    return { { "fencing_token", m_highestToken }, { "fetching", m_fetching }, { "failure", m_failure } };
}

}
