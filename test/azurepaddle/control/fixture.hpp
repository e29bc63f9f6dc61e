#pragma once

#include "azurepaddle/control/control_state.hpp"

#include <criterion/criterion.h>
#include <cstdlib>

namespace azurepaddle::control::test {

constexpr LogTime startTime = 1'000'000;
constexpr Milliseconds retention = 60'000;

/// Applies actions to a state under new command ids, with a simulated clock.
struct Fixture {
    ControlState state;
    LogTime now = startTime;
    std::uint64_t commands = 0;

    ControlCommand command(ControlAction action) { return { CommandId(std::to_string(++commands)), now, now, std::move(action) }; }
    ControlReply apply(ControlAction action) { return state.apply(command(std::move(action))); }

    template <typename Reply>
    Reply expect(ControlAction action)
    {
        const ControlReply reply = apply(std::move(action));
        cr_assert(std::holds_alternative<Reply>(reply), "the reply has an unexpected type");
        return std::get<Reply>(reply);
    }

    ConfigurationReply submit(std::uint64_t number, std::string text) { return expect<ConfigurationReply>(SubmitConfiguration { number, std::move(text) }); }
    ClaimReply claim(const std::string& request, const Holder& holder, LogTime firstSeen = 0, const std::string& body = "digest")
    {
        return expect<ClaimReply>(Claim { { TenantName("blue"), "key" }, RequestId(request), body, holder, firstSeen, retention });
    }
    ClaimReply complete(const std::string& request, const Holder& holder, const std::string& body = "response")
    {
        return expect<ClaimReply>(CompleteClaim { { TenantName("blue"), "key" }, RequestId(request), holder, { ClaimOutcome::Succeeded, 200, "text/plain", body, true } });
    }
    ClaimReply release(const std::string& request, const Holder& holder) { return expect<ClaimReply>(ReleaseClaim { { TenantName("blue"), "key" }, RequestId(request), holder }); }
    RunReply acquireRun(const Holder& holder) { return expect<RunReply>(AcquireRun { RunName("run"), holder, 5'000 }); }
    Epoch epoch() const
    {
        const RunRecord* const run = state.runs().find(RunName("run"));
        return run == nullptr ? 0 : run->epoch;
    }
    RunReply submitGroup(const std::string& group, std::uint64_t step, std::uint32_t samples = 2)
    {
        return expect<RunReply>(SubmitGroups { RunName("run"), epoch(), { { GroupId(group), step, "prompt", samples, 10 } } });
    }
    RunReply handOff(Epoch ownerEpoch, std::uint64_t pull, Sequence cursor, std::vector<GroupId> voided, std::vector<GroupId> assigned)
    {
        return expect<RunReply>(RecordHandOff { RunName("run"), ownerEpoch, run().pull, pull, cursor, 0, std::move(voided), std::move(assigned) });
    }
    RunReply reset(Sequence cursor, WeightVersion version, std::uint64_t step, Sequence held = 0) { return expect<RunReply>(ResetRun { RunName("run"), epoch(), held, cursor, version, step }); }
    RunReply announceVersion(WeightVersion version) { return expect<RunReply>(SetTrainerVersion { RunName("run"), epoch(), version }); }
    const RunRecord& run() const { return *state.runs().find(RunName("run")); }
};

inline Holder holder(const std::string& name, std::uint64_t incarnation = 1)
{
    return { InstanceId(name), incarnation };
}

/// Number of seeds of the randomised tests. The environment variable AZUREPADDLE_SEEDS overrides the default.
inline std::uint64_t seedCount(std::uint64_t defaultCount)
{
    const char* const requested = std::getenv("AZUREPADDLE_SEEDS");
    return requested == nullptr ? defaultCount : std::strtoull(requested, nullptr, 10);
}

}
