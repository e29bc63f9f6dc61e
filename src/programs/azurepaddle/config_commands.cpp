#include "operator_client.hpp"
#include "table.hpp"
#include "tool.hpp"

#include "azurepaddle/config/configuration.hpp"

#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <iterator>
#include <thread>

namespace azurepaddle::tool {

namespace {

    using config::Configuration;

    constexpr std::chrono::milliseconds waitPoll { 250 };

    struct File {
        std::string text;
        Configuration configuration;
    };

    Json toJson(const config::Problems& problems)
    {
        Json list = Json::array();
        for (const config::Problem& problem : problems)
            list.push_back({ { "file", problem.file }, { "section", problem.section }, { "key", problem.key }, { "reason", problem.reason } });
        return list;
    }

    Result<File> readFile(const CommandLine& line)
    {
        const std::string& path = line.operands.front();
        std::ifstream stream(path, std::ios::binary);
        const std::string text { std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>() };
        if (!stream.is_open() || stream.bad())
            return makeError(ExitCode::BadUsage, fmt::format("{}: cannot be read", path));
        const auto configuration = config::parseConfiguration(text, path);
        if (configuration)
            return File { text, *configuration };
        const config::Problems& problems = configuration.error();
        if (line.common.isJson)
            std::cout << Json { { "result", "invalid" }, { "problems", toJson(problems) } }.dump() << "\n";
        else
            std::cout << config::describe(problems);
        return makeError(ExitCode::Refused, fmt::format("{}: {} problem(s)", path, problems.size()));
    }

    /// Instances that count for --wait: all that are not known to be dead or to have left.
    bool isLive(const Json& instance)
    {
        const std::string state = instance.value("state", std::string());
        return state != "dead" && state != "left";
    }

    struct Progress {
        std::size_t live = 0;
        std::size_t done = 0;
        std::string missing;
    };

    Progress progressOf(const Json& instances, std::uint64_t number)
    {
        Progress progress;
        for (const Json& instance : instances) {
            if (!isLive(instance))
                continue;
            ++progress.live;
            if (instance.value("configuration", std::uint64_t { 0 }) >= number)
                ++progress.done;
            else
                progress.missing += fmt::format("{}{} ({})", progress.missing.empty() ? "" : ", ", cellText(instance, "name"), cellText(instance, "configuration"));
        }
        return progress;
    }

    Result<void> waitUntilInForce(const OperatorClient& client, std::uint64_t number, std::chrono::milliseconds timeout)
    {
        const auto end = std::chrono::steady_clock::now() + timeout;
        std::string last;
        while (true) {
            const auto instances = client.list("instances");
            if (!instances && instances.error().code() != ExitCode::Unreachable)
                return tl::unexpected(instances.error());
            const Progress progress = instances ? progressOf(*instances, number) : Progress {};
            const std::string now = instances ? fmt::format("{} of {} instances", progress.done, progress.live) + (progress.missing.empty() ? "" : "; missing: " + progress.missing)
                                              : instances.error().message();
            if (now != last)
                std::cerr << "configuration " << number << " in force on " << now << std::endl;
            last = now;
            if (progress.live > 0 && progress.done == progress.live)
                return {};
            if (std::chrono::steady_clock::now() >= end)
                return makeError(ExitCode::TimeOver, fmt::format("configuration {} is not in force everywhere after {} ms: {}", number, timeout.count(), now));
            std::this_thread::sleep_for(waitPoll);
        }
    }

    Result<void> reportSubmission(const CommandLine& line, const Json& answer)
    {
        const std::string result = answer.value("result", std::string());
        const std::string summary = fmt::format("{}: {}; in force: number {}, digest {}", line.operands.front(), result, cellText(answer, "number"), cellText(answer, "digest"));
        if (line.common.isJson)
            std::cout << answer.dump() << std::endl;
        if (result == "accepted" || result == "already-accepted") {
            if (!line.common.isJson)
                std::cout << summary << std::endl;
            return {};
        }
        if (!line.common.isJson && answer.contains("problems"))
            std::cout << formatTable(answer["problems"], { { "section", "SECTION" }, { "key", "KEY" }, { "reason", "REASON" } });
        return makeError(ExitCode::Refused, summary);
    }

    Result<Configuration> configurationInForce(const OperatorClient& client)
    {
        const auto answer = client.get("/v1/config");
        if (!answer)
            return tl::unexpected(answer.error());
        const std::string text = answer->value("text", std::string());
        if (text.empty())
            return Configuration();
        const auto configuration = config::parseConfiguration(text, "configuration in force");
        if (!configuration)
            return makeError(ExitCode::BadAnswer, config::describe(configuration.error().front()));
        return *configuration;
    }

}

Result<void> runCheck(const CommandLine& line)
{
    const auto file = readFile(line);
    if (!file)
        return tl::unexpected(file.error());
    const Configuration& configuration = file->configuration;
    if (line.common.isJson)
        std::cout << Json { { "result", "valid" }, { "number", configuration.number() }, { "digest", configuration.digest() } }.dump() << "\n";
    else
        std::cout << fmt::format("{}: valid; number {}, {} tenant(s), {} service(s), {} run(s), digest {}\n", line.operands.front(), configuration.number(),
            configuration.tenants().size(), configuration.services().size(), configuration.runs().size(), configuration.digest());
    return {};
}

Result<void> runApply(const CommandLine& line)
{
    const auto file = readFile(line);
    if (!file)
        return tl::unexpected(file.error());
    const OperatorClient client(line.common);
    const auto answer = client.post("/v1/config", file->text, "text/plain");
    if (!answer)
        return tl::unexpected(answer.error());
    auto reported = reportSubmission(line, *answer);
    if (!reported || !line.waits)
        return reported;
    return waitUntilInForce(client, file->configuration.number(), line.waitTimeout);
}

Result<void> runDiff(const CommandLine& line)
{
    const auto file = readFile(line);
    if (!file)
        return tl::unexpected(file.error());
    const auto inForce = configurationInForce(OperatorClient(line.common));
    if (!inForce)
        return tl::unexpected(inForce.error());
    const std::vector<std::string> lines = config::diff(*inForce, file->configuration);
    if (line.common.isJson)
        std::cout << Json { { "differences", lines } }.dump() << "\n";
    else
        std::cout << fmt::format("{}{}", fmt::join(lines, "\n"), lines.empty() ? "" : "\n");
    if (lines.empty())
        return {};
    return makeError(ExitCode::Refused, fmt::format("{}: {} difference(s) from the configuration in force", line.operands.front(), lines.size()));
}

Result<void> runConfig(const CommandLine& line)
{
    const auto answer = OperatorClient(line.common).get("/v1/config");
    if (!answer)
        return tl::unexpected(answer.error());
    std::cout << (line.common.isJson ? answer->dump() + "\n" : answer->value("text", std::string()));
    return {};
}

}
