#pragma once

#include "announcer.hpp"
#include "engine_core.hpp"
#include "engine_orders.hpp"
#include "fault_gate.hpp"

namespace azurepaddle::standin {

/// How an engine reports its load and cache.
struct ReportOptions {
    std::chrono::milliseconds loadLag { 0 };
    std::chrono::milliseconds cacheLag { 1000 };
    double cacheGap = 0.02; ///< Part of the cache events that are lost.
    std::chrono::milliseconds interval { 1000 };
    std::uint64_t seed = 1;
};

/// The HTTP interface of an engine and what it announces.
class EngineHttp {
public:
    EngineHttp(const EngineOptions& options, const ReportOptions& report, StandinServer& server, EngineCore& core, EngineOrders& orders, RanLog& ran);

    [[nodiscard]] Json announcement();
    void applyFault(const Json& fault);

    FaultGate& gate() noexcept { return m_gate; }
    void setAnnouncer(Announcer* announcer) noexcept { m_announcer = announcer; }

private:
    void addWorkRoutes();
    void addControlRoutes();
    void addFaultRoutes();
    void complete(const httplib::Request& request, httplib::Response& response, bool isChat);
    void stream(const std::shared_ptr<Sequence>& sequence, std::uint64_t from, int remotePort, httplib::Response& response);
    void whole(const std::shared_ptr<Sequence>& sequence, bool isChat, httplib::Response& response);
    [[nodiscard]] bool sendEvents(const std::shared_ptr<Sequence>& sequence, std::uint64_t& sent, int remotePort, httplib::DataSink& sink);
    void resume(const httplib::Request& request, httplib::Response& response);
    [[nodiscard]] Json state() const;
    [[nodiscard]] EngineLoad laggedLoad();
    [[nodiscard]] Json cacheEvents();

    const EngineOptions m_options;
    const ReportOptions m_report;
    StandinServer& m_server;
    EngineCore& m_core;
    EngineOrders& m_orders;
    RanLog& m_ran;
    FaultGate m_gate;
    Announcer* m_announcer = nullptr;
    const std::uint64_t m_incarnation = newIncarnation();
    std::mutex m_reportMutex;
    std::deque<EngineLoad> m_loads;
    Random m_random;
};

}
