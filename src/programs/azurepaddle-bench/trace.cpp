#include "trace.hpp"

#include <fmt/format.h>
#include <map>
#include <sstream>
#include <stdexcept>

namespace azurepaddle::bench {

namespace {

    using Fields = std::map<std::string, std::string>;

    Fields readFields(std::istream& words)
    {
        Fields fields;
        for (std::string word; words >> word;) {
            const auto separator = word.find('=');
            if (separator == std::string::npos)
                throw std::invalid_argument(fmt::format("{} is not of the form name=value", word));
            fields[word.substr(0, separator)] = word.substr(separator + 1);
        }
        return fields;
    }

    double number(const Fields& fields, const std::string& name, double initial)
    {
        const auto field = fields.find(name);
        return field == fields.end() ? initial : std::stod(field->second);
    }

    std::string text(const Fields& fields, const std::string& name, const std::string& initial)
    {
        const auto field = fields.find(name);
        return field == fields.end() ? initial : field->second;
    }

    JobState outcomeOf(const std::string& name)
    {
        if (name == "finished")
            return JobState::Finished;
        if (name == "not-run")
            return JobState::Refused;
        if (name == "failed")
            return JobState::Failed;
        throw std::invalid_argument(fmt::format("unknown outcome {}", name));
    }

    TraceRequest readRequest(const Fields& fields, int line)
    {
        TraceRequest request;
        request.arrival = number(fields, "at", 0);
        request.tenant = text(fields, "tenant", "a");
        request.workClass = text(fields, "class", "short") == "long" ? WorkClass::Long : WorkClass::Short;
        request.promptTokens = number(fields, "prompt", 100);
        request.outputTokens = static_cast<std::uint32_t>(number(fields, "output", 50));
        request.instance = static_cast<std::size_t>(number(fields, "instance", 0));
        request.service = static_cast<std::size_t>(number(fields, "service", 0));
        request.timeout = number(fields, "timeout", 0);
        request.isIdempotent = text(fields, "idempotent", "yes") == "yes";
        request.crashing = text(fields, "crashing", "");
        request.count = static_cast<std::size_t>(number(fields, "count", 1));
        request.interval = number(fields, "interval", 0);
        request.outcome = outcomeOf(text(fields, "outcome", "finished"));
        request.within = number(fields, "within", 0);
        request.line = line;
        return request;
    }

    void readLine(Trace& trace, const std::string& content, int line)
    {
        std::istringstream words(content);
        std::string kind;
        if (!(words >> kind) || kind[0] == '#')
            return;
        if (kind == "deployment" || kind == "seed" || kind == "seconds") {
            std::string value;
            words >> value;
            if (kind == "deployment")
                trace.deployment = value;
            else if (kind == "seed")
                trace.seed = std::stoull(value);
            else
                trace.seconds = std::stod(value);
            return;
        }
        const Fields fields = readFields(words);
        if (kind == "request")
            trace.requests.push_back(readRequest(fields, line));
        else if (kind == "slow" || kind == "crash" || kind == "silence")
            trace.faults.push_back({ number(fields, "at", 0), kind, static_cast<std::size_t>(number(fields, "endpoint", 0)), number(fields, "value", 1), number(fields, "seconds", 1) });
        else
            throw std::invalid_argument(fmt::format("unknown entry {}", kind));
    }

}

Trace readTrace(std::istream& input)
{
    Trace trace;
    int line = 0;
    for (std::string content; std::getline(input, content);) {
        ++line;
        try {
            readLine(trace, content, line);
        } catch (const std::exception& error) {
            throw std::invalid_argument(fmt::format("line {}: {}", line, error.what()));
        }
    }
    return trace;
}

}
