#include "options.hpp"

#include <cstdlib>
#include <fstream>
#include <iostream>

namespace azurepaddle::standin {

std::optional<po::variables_map> parseArguments(const std::string& command, const po::options_description& options, const Arguments& arguments)
{
    po::options_description all("Options");
    all.add_options()("help,h", "print this help");
    all.add(options);
    po::variables_map values;
    po::store(po::command_line_parser(arguments).options(all).positional({}).run(), values);
    if (values.contains("help")) {
        std::cout << "usage: azurepaddle-standin " << command << " [options]\n\n"
                  << all;
        return std::nullopt;
    }
    po::notify(values);
    return values;
}

void addListenOptions(po::options_description& options, ListenAddress& listen)
{
    options.add_options()("address", po::value(&listen.address)->default_value(listen.address), "IP address to listen on");
    options.add_options()("port", po::value(&listen.port)->default_value(listen.port), "port to listen on; 0 takes a free one, which is printed");
    options.add_options()("threads", po::value(&listen.threads)->default_value(listen.threads), "threads that serve requests");
}

void addInstanceOptions(po::options_description& options, InstanceOptions& access, const std::string& tokenHelp)
{
    options.add_options()("instances", po::value(&access.addresses), "instances to call, separated by commas: ip:port or https://ip:port");
    options.add_options()("token", po::value(&access.token), tokenHelp.c_str());
    options.add_options()("token-file", po::value(&access.tokenFile), "file whose first line is the token");
    options.add_options()("tls-authority", po::value(&access.tlsAuthority), "certificate file that the instances' certificates are checked against");
}

InstanceAccess toAccess(const InstanceOptions& options, const char* environmentVariable)
{
    InstanceAccess access { splitCommas(options.addresses), options.token, options.tlsAuthority };
    if (!options.tokenFile.empty()) {
        std::ifstream file(options.tokenFile);
        if (!std::getline(file, access.token))
            throw po::error("--token-file " + options.tokenFile + " cannot be read");
    }
    const char* environment = std::getenv(environmentVariable);
    if (access.token.empty() && environment)
        access.token = environment;
    return access;
}

std::vector<std::string> splitCommas(const std::string& text)
{
    std::vector<std::string> parts;
    std::size_t from = 0;
    while (from <= text.size()) {
        const std::size_t end = std::min(text.find(',', from), text.size());
        if (end > from)
            parts.push_back(text.substr(from, end - from));
        from = end + 1;
    }
    return parts;
}

}
