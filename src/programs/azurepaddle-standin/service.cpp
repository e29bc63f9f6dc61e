#include "plain_service.hpp"
#include "text.hpp"

#include "azurepaddle/core/digest.hpp"

namespace azurepaddle::standin {

namespace {

    void addPlainOptions(po::options_description& options, PlainOptions& plain)
    {
        options.add_options()("id", po::value(&plain.id)->required(), "identifier of the endpoint");
        options.add_options()("service", po::value(&plain.service)->required(), "service the endpoint belongs to");
        options.add_options()("data-centre", po::value(&plain.dataCentre)->default_value(plain.dataCentre), "data centre the endpoint is in");
        options.add_options()("slots", po::value(&plain.slots)->default_value(plain.slots), "calls that run at once");
        options.add_options()("call-ms", po::value(&plain.callMs)->default_value(plain.callMs), "time of one call");
        options.add_options()("crash-marker", po::value(&plain.crashMarker)->default_value(plain.crashMarker), "text in a body after whose run the process exits with code 70, before the answer");
        options.add_options()("drop-marker", po::value(&plain.dropMarker)->default_value(plain.dropMarker), "text in a body whose answer is dropped with the connection");
        options.add_options()("ran-file", po::value(&plain.ranFile), "file that keeps the counts of what ran over a crash");
        options.add_options()("announce-ms", po::value(&plain.announceMs)->default_value(plain.announceMs), "interval of announcements");
    }

    int servePlain(const std::string& command, const Arguments& arguments, const Responder& responder)
    {
        PlainOptions plain;
        ListenAddress listen;
        InstanceOptions instances;
        po::options_description options;
        addListenOptions(options, listen);
        addInstanceOptions(options, instances, "endpoint secret; also in AZUREPADDLE_ENDPOINT_SECRET");
        addPlainOptions(options, plain);
        if (!parseArguments(command, options, arguments))
            return Success;
        StandinServer server(listen);
        PlainService service(plain, server, responder);
        const InstanceAccess access = toAccess(instances, "AZUREPADDLE_ENDPOINT_SECRET");
        std::unique_ptr<Announcer> announcer;
        if (!access.addresses.empty())
            announcer = std::make_unique<Announcer>(access, std::chrono::milliseconds(plain.announceMs), [&] { return service.announcement(); });
        service.setAnnouncer(announcer.get());
        server.run([&] {
            if (announcer)
                announcer->leave();
            service.stop();
        });
        return Success;
    }

    Json confirmCall(const httplib::Request& request, const Json&)
    {
        return { { "path", request.path }, { "key", request.get_header_value("Idempotency-Key") }, { "body_digest", sha256Hex(request.body) } };
    }

    Json scoreSamples(const httplib::Request&, const Json& body)
    {
        if (body.contains("text"))
            return { { "score", scoreOf(body["text"].get<std::string>()) } };
        Json scores = Json::array();
        for (const Json& sample : body.at("samples"))
            scores.push_back(scoreOf(sample.at("text").get<std::string>()));
        return { { "scores", scores } };
    }

}

int runService(const Arguments& arguments)
{
    return servePlain("service", arguments, confirmCall);
}

int runScorer(const Arguments& arguments)
{
    return servePlain("scorer", arguments, scoreSamples);
}

}
