#include "tool.hpp"

#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <iostream>

namespace azurepaddle::tool {

namespace {

    constexpr const char* instancesVariable = "AZUREPADDLE_INSTANCES";
    constexpr const char* tokenVariable = "AZUREPADDLE_OPERATOR_TOKEN";
    constexpr const char* defaultInstance = "127.0.0.1:8080";

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

    std::string environment(const char* name)
    {
        const char* value = std::getenv(name);
        return value ? value : "";
    }

    po::options_description makeOptions(const Command& command)
    {
        po::options_description options("Options");
        options.add_options()("help,h", "print this help");
        options.add_options()("json", "print JSON instead of a table");
        if (command.usesInstances) {
            options.add_options()("instance,i", po::value<std::string>(), "instances tried in turn, separated by commas: ip:port or https://ip:port (default: AZUREPADDLE_INSTANCES, then 127.0.0.1:8080)");
            options.add_options()("token", po::value<std::string>(), "operator token (default: AZUREPADDLE_OPERATOR_TOKEN); others can see it in the list of processes");
            options.add_options()("token-file", po::value<std::string>(), "file whose first line is the operator token");
            options.add_options()("tls-authority", po::value<std::string>(), "certificate file that the instances' certificates are checked against");
            options.add_options()("timeout-ms", po::value<std::int64_t>()->default_value(10000), "longest time for one call");
        }
        if (command.name == "apply") {
            options.add_options()("wait", "wait until the configuration is in force on every live instance");
            options.add_options()("wait-timeout-ms", po::value<std::int64_t>()->default_value(120000), "longest wait");
        }
        if (command.name == "drain")
            options.add_options()("kind", po::value<std::string>(), "endpoint or instance, if a name means both");
        return options;
    }

    void printHelp(const Command& command, const po::options_description& options)
    {
        std::cout << "usage: azurepaddle " << command.name << (command.operands.empty() ? "" : " ") << command.operands << " [options]\n\n"
                  << command.summary << "\n\n"
                  << options << "\nExit codes: 0 success, 1 refused, invalid or different, 2 bad usage, 3 no instance answered, 4 not authorised, 5 time over, 6 answer not understood.\n";
    }

    std::string textOf(const po::variables_map& values, const char* name)
    {
        return values.contains(name) ? values[name].as<std::string>() : std::string();
    }

    Result<std::string> readToken(const po::variables_map& values)
    {
        const std::string file = textOf(values, "token-file");
        if (file.empty())
            return values.contains("token") ? textOf(values, "token") : environment(tokenVariable);
        if (values.contains("token"))
            return makeError(ExitCode::BadUsage, "--token contradicts --token-file");
        std::ifstream stream(file);
        std::string token;
        if (!std::getline(stream, token) || token.empty())
            return makeError(ExitCode::BadUsage, fmt::format("--token-file {}: cannot be read or its first line is empty", file));
        return token;
    }

    Result<CommonOptions> readCommon(const po::variables_map& values)
    {
        CommonOptions common;
        std::string instances = textOf(values, "instance");
        if (instances.empty())
            instances = environment(instancesVariable);
        common.instances = splitCommas(instances.empty() ? defaultInstance : instances);
        if (common.instances.empty())
            return makeError(ExitCode::BadUsage, "--instance: names no instance");
        const auto token = readToken(values);
        if (!token)
            return tl::unexpected(token.error());
        common.token = *token;
        common.tlsAuthority = textOf(values, "tls-authority");
        common.timeout = std::chrono::milliseconds(values["timeout-ms"].as<std::int64_t>());
        if (common.timeout.count() <= 0)
            return makeError(ExitCode::BadUsage, "--timeout-ms: must be above 0");
        return common;
    }

    Result<std::optional<CommandLine>> readLine(const Command& command, const po::variables_map& values)
    {
        CommandLine line;
        if (command.usesInstances) {
            auto common = readCommon(values);
            if (!common)
                return tl::unexpected(common.error());
            line.common = *common;
        }
        line.common.isJson = values.contains("json");
        if (values.contains("operands"))
            line.operands = values["operands"].as<std::vector<std::string>>();
        const bool hasEnough = command.takesMoreOperands ? line.operands.size() >= command.operandCount : line.operands.size() == command.operandCount;
        if (!hasEnough)
            return makeError(ExitCode::BadUsage, fmt::format("{} takes {}{} operand(s) {}, not {}", command.name, command.takesMoreOperands ? "at least " : "", command.operandCount, command.operands, line.operands.size()));
        if (command.name == "apply") {
            line.waits = values.contains("wait");
            line.waitTimeout = std::chrono::milliseconds(values["wait-timeout-ms"].as<std::int64_t>());
        }
        line.kind = textOf(values, "kind");
        if (!line.kind.empty() && line.kind != "endpoint" && line.kind != "instance")
            return makeError(ExitCode::BadUsage, fmt::format("--kind: \"{}\" is neither endpoint nor instance", line.kind));
        return line;
    }

}

Result<std::optional<CommandLine>> parseCommandLine(const Command& command, const std::vector<std::string>& arguments)
{
    const po::options_description options = makeOptions(command);
    po::options_description all;
    all.add(options).add_options()("operands", po::value<std::vector<std::string>>());
    po::positional_options_description positions;
    positions.add("operands", -1);
    try {
        po::variables_map values;
        po::store(po::command_line_parser(arguments).options(all).positional(positions).run(), values);
        po::notify(values);
        if (values.contains("help")) {
            printHelp(command, options);
            return std::nullopt;
        }
        return readLine(command, values);
    } catch (const po::error& error) {
        return makeError(ExitCode::BadUsage, fmt::format("{}: {}", command.name, error.what()));
    }
}

}
