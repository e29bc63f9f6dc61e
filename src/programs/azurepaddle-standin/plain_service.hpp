#pragma once

#include "announcer.hpp"
#include "fault_gate.hpp"
#include "options.hpp"
#include "ran_log.hpp"

#include <semaphore>

namespace azurepaddle::standin {

/// Shape and faults of a plain service.
struct PlainOptions {
    std::string id;
    std::string service;
    std::string dataCentre = "a";
    std::size_t slots = 8;
    std::int64_t callMs = 5; ///< Time of one call.
    std::string crashMarker = "crash-after-run";
    std::string dropMarker = "drop-answer";
    std::string ranFile;
    std::int64_t announceMs = 1000;
};

/// Gives the body of the answer to a call.
using Responder = std::function<Json(const httplib::Request& request, const Json& body)>;

/// A plain service: every POST outside /standin/ and /requests/ is a call. A call is recorded when it runs, before its
/// answer. Thread-safe.
class PlainService {
public:
    PlainService(const PlainOptions& options, StandinServer& server, Responder responder);

    [[nodiscard]] Json announcement() const;
    void setAnnouncer(Announcer* announcer) noexcept { m_announcer = announcer; }
    void stop() { m_gate.stop(); }

private:
    void call(const httplib::Request& request, httplib::Response& response);
    void runOnce(const httplib::Request& request, const std::string& id);
    void applyFault(const Json& fault);
    [[nodiscard]] std::int64_t callMs() const;

    const PlainOptions m_options;
    StandinServer& m_server;
    Responder m_responder;
    RanLog m_ran;
    FaultGate m_gate;
    Announcer* m_announcer = nullptr;
    const std::uint64_t m_incarnation = newIncarnation();
    std::counting_semaphore<> m_slots;
    std::atomic<std::uint64_t> m_running { 0 };
    std::atomic<std::uint64_t> m_queued { 0 };
    std::atomic<std::int64_t> m_slowMs { 0 };
    std::atomic<std::int64_t> m_slowUntilMs { 0 };
    std::atomic<std::int64_t> m_dropsLeft { 0 };
    std::atomic<bool> m_crashesNext { false };
};

}
