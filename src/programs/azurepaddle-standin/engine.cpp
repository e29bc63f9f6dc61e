#include "engine_http.hpp"
#include "options.hpp"

#include "azurepaddle/core/digest.hpp"

namespace azurepaddle::standin {

namespace {

    struct EngineCommand {
        ListenAddress listen;
        InstanceOptions instances;
        EngineOptions engine;
        ReportOptions report;
        std::int64_t loadLagMs = 0;
        std::int64_t cacheLagMs = 1000;
        std::int64_t announceMs = 1000;
        std::string ranFile;
        std::string fault;
        std::int64_t drainMs = 0;
    };

    template <typename T>
    po::typed_value<T>* valueOf(T& target)
    {
        return po::value(&target)->default_value(target);
    }

    void addShapeOptions(po::options_description& options, EngineOptions& engine)
    {
        options.add_options()("id", po::value(&engine.id)->required(), "identifier of the endpoint");
        options.add_options()("service", po::value(&engine.service)->required(), "service the endpoint belongs to");
        options.add_options()("data-centre", valueOf(engine.dataCentre), "data centre the endpoint is in");
        options.add_options()("role", valueOf(engine.role), "role at start: mixed, prefill or decode");
        options.add_options()("slots", valueOf(engine.slots), "requests that run at once");
        options.add_options()("max-queued", valueOf(engine.maxQueued), "requests that may wait");
        options.add_options()("cache-blocks", valueOf(engine.cacheBlocks), "blocks of 256 bytes of prompt in the prefix cache");
        options.add_options()("version", valueOf(engine.version), "weight version at start");
        options.add_options()("versions-held", valueOf(engine.versionsHeld), "weight versions that fit in memory");
        options.add_options()("checks-fencing", valueOf(engine.checksFencing), "refuse orders with an old fencing token");
        options.add_options()("store", po::value(&engine.store), "ip:port of the weight store; without it weights are there at once");
        options.add_options()("time-scale", valueOf(engine.timeScale), "factor of all times of the engine; 0.1 is ten times faster");
        options.add_options()("base-ms", valueOf(engine.baseMs), "time of a step, in ms at scale 1");
        options.add_options()("per-sequence-ms", valueOf(engine.perSequenceMs), "added to a step for each running request");
        options.add_options()("prefill-ms", valueOf(engine.prefillMs), "added to a step for each prompt token that is not cached");
        options.add_options()("switch-ms", valueOf(engine.switchMs), "pause while weights are switched");
    }

    void addFaultOptions(po::options_description& options, EngineCommand& command)
    {
        options.add_options()("crash-marker", valueOf(command.engine.crashMarker), "text in a prompt that makes the process exit with code 70");
        options.add_options()("crash-after-tokens", valueOf(command.engine.crashAfterTokens), "tokens of the marked request before the crash");
        options.add_options()("slow-every-ms", valueOf(command.engine.slowEveryMs), "mean time between slow moments; 0 for none");
        options.add_options()("slow-for-ms", valueOf(command.engine.slowForMs), "duration of a slow moment");
        options.add_options()("slow-factor", valueOf(command.engine.slowFactor), "factor of step times in a slow moment");
        options.add_options()("seed", valueOf(command.engine.seed), "seed of slow moments and lost cache events");
        options.add_options()("load-lag-ms", valueOf(command.loadLagMs), "age of the load in an announcement");
        options.add_options()("cache-lag-ms", valueOf(command.cacheLagMs), "age of cache events when they are announced");
        options.add_options()("cache-gap", valueOf(command.report.cacheGap), "part of the cache events that is lost");
        options.add_options()("announce-ms", valueOf(command.announceMs), "interval of announcements");
        options.add_options()("ran-file", po::value(&command.ranFile), "file that keeps the counts of what ran over a crash");
        options.add_options()("drain-ms", valueOf(command.drainMs), "time for requests in progress after SIGTERM");
        options.add_options()("fault", po::value(&command.fault), "fault at start, as for POST /standin/fault");
    }

    int serveEngine(EngineCommand& command)
    {
        RanLog ran(command.ranFile);
        StandinServer server(command.listen);
        EngineCore core(command.engine, ran);
        EngineOrders orders(command.engine, core, ran);
        EngineHttp http(command.engine, command.report, server, core, orders, ran);
        const InstanceAccess access = toAccess(command.instances, "AZUREPADDLE_ENDPOINT_SECRET");
        std::unique_ptr<Announcer> announcer;
        if (!access.addresses.empty())
            announcer = std::make_unique<Announcer>(access, command.report.interval, [&] { return http.announcement(); });
        http.setAnnouncer(announcer.get());
        if (!command.fault.empty())
            http.applyFault(Json::parse(command.fault));
        server.run([&] {
            if (announcer)
                announcer->leave();
            core.drain(std::chrono::milliseconds(command.drainMs));
            http.gate().stop();
        });
        return Success;
    }

}

int runEngine(const Arguments& arguments)
{
    EngineCommand command;
    po::options_description options;
    addListenOptions(options, command.listen);
    addInstanceOptions(options, command.instances, "endpoint secret; also in AZUREPADDLE_ENDPOINT_SECRET");
    addShapeOptions(options, command.engine);
    addFaultOptions(options, command);
    if (!parseArguments("engine", options, arguments))
        return Success;
    command.report.loadLag = std::chrono::milliseconds(command.loadLagMs);
    command.report.cacheLag = std::chrono::milliseconds(command.cacheLagMs);
    command.report.interval = std::chrono::milliseconds(command.announceMs);
    command.report.seed = command.engine.seed;
    return serveEngine(command);
}

}
