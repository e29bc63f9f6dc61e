#include "commands.hpp"

#include <boost/program_options.hpp>
#include <exception>
#include <fmt/format.h>
#include <iostream>

namespace options = boost::program_options;
using namespace azurepaddle::bench;

namespace {

options::options_description describe(RunCommand& run, std::string& command, std::string& trace)
{
    options::options_description description("azurepaddle-bench run|replay TRACE|cost|scale");
    auto add = description.add_options();
    add("help", "show this text");
    add("command", options::value(&command)->default_value("run"), "run, replay, cost or scale");
    add("trace", options::value(&trace), "trace of replay");
    add("scenario", options::value(&run.scenario), "run only this scenario");
    add("deployment", options::value(&run.deployment), "run only this deployment");
    add("seed", options::value(&run.seeds)->multitoken(), "seeds, one run each");
    add("seconds", options::value(&run.seconds)->default_value(run.seconds), "virtual time of a run");
    add("json", options::value(&run.jsonFile), "write the figures to this file");
    add("html", options::value(&run.htmlFile), "write a report with plots to this file");
    add("histograms", options::bool_switch(&run.showsHistograms), "print latency histograms");
    add("only-service", options::bool_switch(&run.onlyService), "leave out the baselines");
    add("policy", options::value(&run.policy), "run only this policy");
    add("jobs", options::value(&run.jobs)->default_value(run.jobs), "runs at the same time");
    add("set", options::value(&run.set)->multitoken(), "settings of the modules, as name=value");
    return description;
}

}

int main(int argc, char** argv)
{
    RunCommand run;
    std::string command;
    std::string trace;
    const options::options_description description = describe(run, command, trace);
    options::positional_options_description positions;
    positions.add("command", 1).add("trace", 1);
    try {
        options::variables_map values;
        options::store(options::command_line_parser(argc, argv).options(description).positional(positions).run(), values);
        options::notify(values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        if (command == "run")
            return runCommand(run);
        if (command == "replay")
            return replayCommand(trace);
        if (command == "cost")
            return costCommand();
        if (command == "scale")
            return scaleCommand();
        fmt::print(stderr, "unknown command {}\n", command);
    } catch (const std::exception& error) {
        fmt::print(stderr, "azurepaddle-bench: {}\n", error.what());
    }
    return 2;
}
