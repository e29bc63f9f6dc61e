#pragma once

#include "azurepaddle/config/settings.hpp"
#include "azurepaddle/control/client.hpp"
#include "azurepaddle/control/group.hpp"
#include "azurepaddle/http/operator_routes.hpp"
#include "azurepaddle/http/server.hpp"
#include "azurepaddle/pipeline/background_pool.hpp"
#include "azurepaddle/pipeline/caller_service.hpp"
#include "azurepaddle/pipeline/configuration_service.hpp"
#include "azurepaddle/pipeline/endpoint_service.hpp"
#include "azurepaddle/pipeline/peer_exchange.hpp"
#include "azurepaddle/pipeline/run_service.hpp"
#include "azurepaddle/pipeline/share_exchange.hpp"
#include "azurepaddle/pipeline/weight_service.hpp"

namespace azurepaddle::daemon {

/// One running instance: all parts, built in the order of their dependencies, and the threads that keep them going.
class Instance {
public:
    explicit Instance(config::Settings settings);
    ~Instance();

    Instance(const Instance&) = delete;
    Instance& operator=(const Instance&) = delete;

    /// Starts to listen and to take part. Returns false with a logged reason if an address is in use.
    [[nodiscard]] bool start();

    /// Refuses new requests, waits for those in progress up to the drain timeout, and stops.
    void drainAndStop();

private:
    void addRoutes();
    [[nodiscard]] http::OperatorParts operatorParts();
    /// Refuses new work from now on. False if it did so already.
    bool beginDrain();
    /// Drains this or another instance. The result's name, or an empty text if it is unknown or cannot be reached.
    [[nodiscard]] std::string drainInstance(const std::string& name);
    void runPeriodically(const std::string& name, Duration interval, std::function<void()> task);
    void exchangeDemands();
    void reportDead();
    [[nodiscard]] bool isReady() const;

    struct Parts;

    const config::Settings m_settings;
    const Log m_log { "instance" };
    std::unique_ptr<Parts> m_parts;
    pipeline::ShareExchange m_shares;
    std::mutex m_mutex;
    std::condition_variable m_stopped;
    bool m_isStopping = false;
    std::atomic<bool> m_isDraining = false;
    std::vector<std::thread> m_threads;
};

}
