#include "azurepaddle/control/control_state.hpp"
#include "azurepaddle/core/clock.hpp"
#include "programs/azurepaddle-figures/commands.hpp"

#include <boost/program_options.hpp>
#include <cstdio>
#include <functional>
#include <iostream>
#include <malloc.h>

namespace azurepaddle::figures {

namespace {

    using namespace control;

    constexpr LogTime startTime = 1'000'000'000;
    constexpr Milliseconds claimRetention = 3'600'000;

    std::size_t allocatedBytes()
    {
        const auto info = mallinfo2();
        return info.uordblks + info.hblkhd;
    }

    double secondsOf(const std::function<void()>& work)
    {
        const SystemClock clock;
        const TimePoint begin = clock.now();
        work();
        return std::chrono::duration<double>(clock.now() - begin).count();
    }

    /// Applies actions one by one, far enough apart in time that the replies of earlier ones are forgotten.
    class Source {
    public:
        explicit Source(ControlState& state)
            : m_state(state)
        {
        }

        void apply(ControlAction action)
        {
            const CommandId id("0123456789abcdef0123456789abcdef-" + std::to_string(++m_commands));
            static_cast<void>(m_state.apply({ id, m_now, m_now, std::move(action) }));
        }

        void forgetReplies()
        {
            m_now += replyRetention + maxClockDifference;
            apply(AdvanceTime {});
        }

    private:
        ControlState& m_state;
        LogTime m_now = startTime;
        std::uint64_t m_commands = 0;
    };

    ControlAction claimAction(std::size_t number)
    {
        const std::string suffix = std::to_string(number);
        return Claim { { TenantName("tenant-" + std::to_string(number % 100)), "0123456789abcdef0123456789abcdef" + suffix },
            RequestId("request-0123456789abcdef-" + suffix), std::string(64, 'd'), { InstanceId("instance-12"), 3 }, startTime, claimRetention };
    }

    ControlAction groupAction(std::size_t number, std::uint32_t samples)
    {
        return SubmitGroups { RunName("run"), 1, { { GroupId("step-12-group-" + std::to_string(number)), 12, std::string(512, 'p'), samples, 1024 } } };
    }

    void printRow(const char* kind, std::size_t records, std::size_t bytes, double applySeconds, const ControlState& state)
    {
        std::string snapshot;
        const double snapshotSeconds = secondsOf([&] { snapshot = state.snapshot(); });
        ControlState restored;
        const double restoreSeconds = secondsOf([&] { static_cast<void>(restored.restore(snapshot)); });
        const auto count = static_cast<double>(records);
        std::printf("%-22s %9zu %12.0f %12.2f %14.1f %14.1f %14.0f\n", kind, records, static_cast<double>(bytes) / count, applySeconds * 1e6 / count,
            snapshotSeconds * 1e3, restoreSeconds * 1e3, static_cast<double>(snapshot.size()) / count);
    }

    /// Adds records of one kind and prints what they take. The remembered replies are measured apart from the records.
    void measure(const char* kind, std::size_t records, const std::function<ControlAction(std::size_t)>& action)
    {
        ControlState state;
        Source source(state);
        source.apply(AcquireRun { RunName("run"), { InstanceId("instance-1"), 1 }, 1'000 });
        malloc_trim(0);
        const std::size_t before = allocatedBytes();
        const double applySeconds = secondsOf([&] {
            for (std::size_t i = 0; i < records; ++i)
                source.apply(action(i));
        });
        const std::size_t withReplies = allocatedBytes() - before;
        source.forgetReplies();
        const std::size_t withoutReplies = allocatedBytes() - before;
        printRow(kind, records, withoutReplies, applySeconds, state);
        if (withReplies > withoutReplies)
            std::printf("%-22s %9zu %12.0f\n", "  remembered reply", records, static_cast<double>(withReplies - withoutReplies) / static_cast<double>(records));
    }

    /// Bytes per sample: the difference between groups of many samples and of one, all of them assigned.
    void measureSamples(std::size_t groups, std::uint32_t samples)
    {
        const auto bytesWith = [groups](std::uint32_t count) {
            ControlState state;
            Source source(state);
            source.apply(AcquireRun { RunName("run"), { InstanceId("instance-1"), 1 }, 1'000 });
            const std::size_t before = allocatedBytes();
            for (std::size_t i = 0; i < groups; ++i) {
                source.apply(groupAction(i, count));
                source.apply(RecordHandOff { RunName("run"), 1, i, i + 1, 0, 1, {}, { GroupId("step-12-group-" + std::to_string(i)) } });
            }
            source.forgetReplies();
            return static_cast<double>(allocatedBytes() - before);
        };
        const double perSample = (bytesWith(samples) - bytesWith(1)) / static_cast<double>(groups * (samples - 1));
        std::printf("%-22s %9zu %12.1f\n", "assigned sample", groups * samples, perSample);
    }

}

int runControlFigures(int argc, char** argv)
{
    namespace options = boost::program_options;
    std::size_t largest = 0;
    options::options_description description("control figures");
    description.add_options()("help", "print this text")(
        "records", options::value(&largest)->default_value(100'000), "largest number of claims");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
    if (values.contains("help")) {
        std::cout << description;
        return 0;
    }
    std::printf("%-22s %9s %12s %12s %14s %14s %14s\n", "record", "count", "bytes each", "apply us", "snapshot ms", "restore ms", "snapshot bytes");
    for (std::size_t records = 1000; records <= largest; records *= 10)
        measure("claim", records, claimAction);
    for (const std::size_t records : { 1000UL, RunLedger::maxGroups })
        measure("group of 8, 512 B", records, [](std::size_t number) { return groupAction(number, 8); });
    measureSamples(1000, 64);
    return 0;
}

}
