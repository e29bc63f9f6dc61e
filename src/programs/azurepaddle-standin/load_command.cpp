#include "load.hpp"

#include <iostream>

namespace azurepaddle::standin {

namespace {

    template <typename T>
    po::typed_value<T>* valueOf(T& target)
    {
        return po::value(&target)->default_value(target);
    }

    void addLoadOptions(po::options_description& options, LoadOptions& load)
    {
        options.add_options()("service", po::value(&load.service)->required(), "service of kind engine");
        options.add_options()("plain-service", po::value(&load.plainService), "service of kind plain for calls that must not be repeated");
        options.add_options()("plain-path", valueOf(load.plainPath), "path of plain calls");
        options.add_options()("plain-fraction", valueOf(load.plainFraction), "part of plain calls");
        options.add_options()("prefix", valueOf(load.prefix), "prefix of idempotency keys; differs between two loads at once");
        options.add_options()("seed", valueOf(load.seed), "seed of the schedule and the mix");
        options.add_options()("rate", valueOf(load.rate), "requests a second");
        options.add_options()("requests", valueOf(load.requests), "requests in all");
        options.add_options()("concurrency", valueOf(load.concurrency), "requests in progress at most");
        options.add_options()("long-fraction", valueOf(load.longFraction), "part of long requests");
        options.add_options()("stream-fraction", valueOf(load.streamFraction), "part of streamed requests");
        options.add_options()("short-tokens", valueOf(load.shortTokens), "tokens of a short request");
        options.add_options()("long-tokens", valueOf(load.longTokens), "tokens of a long request");
        options.add_options()("poison-requests", valueOf(load.poisonRequests), "requests at the start whose prompt has the poison marker");
        options.add_options()("poison-marker", valueOf(load.poisonMarker), "text that crashes engines");
        options.add_options()("resends", valueOf(load.resends), "resends after a lost answer or the outcome unknown");
        options.add_options()("deadline-ms", valueOf(load.deadlineMs), "deadline stated in each request");
        options.add_options()("timeout-ms", valueOf(load.timeoutMs), "silence after which an answer counts as lost");
    }

    /// Reads name:token or name:token:weight.
    std::vector<LoadTenant> readTenants(const std::string& text)
    {
        std::vector<LoadTenant> tenants;
        for (const std::string& part : splitCommas(text)) {
            const std::size_t first = part.find(':');
            const std::size_t second = part.find(':', first == std::string::npos ? first : first + 1);
            if (first == std::string::npos)
                throw po::error("--tenants: \"" + part + "\" is not of the form name:token or name:token:weight");
            LoadTenant tenant { part.substr(0, first), part.substr(first + 1, second == std::string::npos ? second : second - first - 1) };
            if (second != std::string::npos)
                tenant.weight = std::strtod(part.c_str() + second + 1, nullptr);
            if (tenant.weight <= 0)
                throw po::error("--tenants: the weight in \"" + part + "\" is not a number above 0");
            tenants.push_back(tenant);
        }
        return tenants;
    }

}

int runLoad(const Arguments& arguments)
{
    LoadOptions load;
    InstanceOptions instances;
    std::string tenants;
    po::options_description options;
    addInstanceOptions(options, instances, "not used; see --tenants");
    options.add_options()("tenants", po::value(&tenants)->required(), "callers as name:token or name:token:weight, separated by commas");
    addLoadOptions(options, load);
    if (!parseArguments("load", options, arguments))
        return Success;
    const InstanceAccess access = toAccess(instances, "AZUREPADDLE_TOKEN");
    if (access.addresses.empty())
        throw po::error("the option '--instances' is required but missing");
    CallerLoad callers(load, access, readTenants(tenants));
    callers.run();
    std::cout << callers.report().dump() << std::endl;
    return callers.hasSucceeded() ? Success : ChecksFailed;
}

}
