#include "azurepaddle/control/fixture.hpp"
#include "azurepaddle/core/random.hpp"

#include <set>

using namespace azurepaddle;
using namespace azurepaddle::control;
using namespace azurepaddle::control::test;

namespace {

/// Generates random commands over small sets of names, so that many of them concern the same objects. Some commands are
/// retried, and some are proposed later than they were first sent.
class CommandGenerator {
public:
    explicit CommandGenerator(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// Lets hand-offs be based on the last recorded one; otherwise few of them would be recorded.
    void updateRecordedPulls(const ControlState& state)
    {
        for (const auto& [run, record] : state.runs().runs())
            m_recordedPulls[run] = record.pull;
    }

    ControlCommand next()
    {
        if (!m_sent.empty() && m_random.chance(0.1)) {
            ControlCommand retry = m_sent[m_random.below(m_sent.size())];
            retry.time = m_now;
            return retry;
        }
        m_now += static_cast<LogTime>(m_random.chance(0.02) ? m_random.below(2 * retention) : m_random.below(400));
        const LogTime skew = static_cast<LogTime>(m_random.below(maxClockDifference));
        m_sent.push_back({ CommandId(std::to_string(m_sent.size())), m_now, m_now - skew, randomAction() });
        return m_sent.back();
    }

private:
    std::string randomName(const char* prefix, std::uint64_t count) { return prefix + std::to_string(m_random.below(count)); }
    Holder randomHolder() { return holder(randomName("instance-", 4), 1 + m_random.below(3)); }
    ClaimKey randomKey() { return { TenantName("blue"), randomName("k", 6) }; }
    RequestId randomRequest() { return RequestId(randomName("r", 8)); }

    ControlAction randomAction()
    {
        const Fingerprint fingerprint(randomName("f", 3));
        const RunName run(randomName("run", 2));
        switch (m_random.below(16)) {
        case 0:
            return SubmitConfiguration { 1 + m_random.below(40), randomName("text", 4) };
        case 1:
            return IssueInstance { randomName("n", 6), DataCentreName("east"), "1:1" };
        case 2:
            return StartInstance { InstanceId(randomName("instance-", 4)), 1 + m_random.below(5), "1:1" };
        case 3:
            return ReportDead { InstanceId(randomName("instance-", 4)), m_random.below(3) };
        case 4:
            return AcquireOrderLease { ServiceName("models"), randomHolder(), 1'000 };
        case 5:
        case 6:
            return Claim { randomKey(), randomRequest(), randomName("b", 2), randomHolder(), m_random.chance(0.5) ? m_now - static_cast<LogTime>(m_random.below(2 * retention)) : 0, retention };
        case 7:
            return CompleteClaim { randomKey(), randomRequest(), randomHolder(), {} };
        case 8:
            return ReleaseClaim { randomKey(), randomRequest(), randomHolder() };
        case 9:
            return ReportSuspect { fingerprint, EndpointId("e"), TenantName("blue"), 0 };
        case 10:
            return AcquireTrial { fingerprint, randomHolder(), 1'000, {} };
        case 11:
            return FinishTrial { fingerprint, 1 + m_random.below(20), static_cast<TrialResult>(m_random.below(3)), EndpointId("e"), 0 };
        case 12:
            return AcquireRun { run, randomHolder(), 1'000 };
        case 13:
            return SubmitGroups { run, 1 + m_random.below(6), { { GroupId(randomName("g", 30)), 1 + m_random.below(60), "prompt", static_cast<std::uint32_t>(1 + m_random.below(3)), 10 } } };
        case 14:
            return m_random.chance(0.05) ? ControlAction(ResetRun { run, 1 + m_random.below(6), m_random.below(20), m_random.below(200) + 1, 1, m_random.below(30) }) : ControlAction(SetTrainerVersion { run, 1 + m_random.below(6), m_random.below(50) });
        default:
            return RecordHandOff { run, 1 + m_random.below(6), m_recordedPulls[run], ++m_pull, m_random.below(12), m_random.below(50), randomGroups(), randomGroups() };
        }
    }

    std::vector<GroupId> randomGroups()
    {
        std::vector<GroupId> groups;
        while (m_random.chance(0.4))
            groups.emplace_back(randomName("g", 30));
        return groups;
    }

    Random m_random;
    LogTime m_now = startTime;
    std::uint64_t m_pull = 0;
    std::map<RunName, std::uint64_t> m_recordedPulls;
    std::vector<ControlCommand> m_sent;
};

/// Checks the invariants that must hold after every command.
struct InvariantChecker {
    std::uint64_t configuration = 0;
    std::map<std::pair<RunName, Sequence>, std::pair<GroupId, std::size_t>> assignedSamples;
    std::map<ServiceName, Epoch> epochs;

    void check(const ControlState& state)
    {
        cr_assert(state.configurations().number() >= configuration, "the configuration number decreased");
        configuration = state.configurations().number();
        for (const auto& [service, lease] : state.orderLeases().leases()) {
            cr_assert(lease.epoch >= epochs[service], "the epoch of a lease decreased");
            epochs[service] = lease.epoch;
        }
        for (const auto& [run, record] : state.runs().runs())
            checkRun(run, record);
    }

    void checkRun(const RunName& run, const RunRecord& record)
    {
        std::uint64_t bytes = 0;
        for (const auto& [id, group] : record.groups) {
            bytes += group.spec.prompt.size();
            for (std::size_t index = 0; index < group.sequences.size(); ++index) {
                const Sequence number = group.sequences[index];
                cr_assert(number <= record.highest);
                if (number == 0)
                    continue;
                const auto assignedSample = assignedSamples.emplace(std::pair(run, number), std::pair(id, index)).first->second;
                cr_assert(assignedSample == std::pair(id, index), "a sequence number is assigned to two samples");
            }
        }
        cr_assert(bytes == record.promptBytes);
    }
};

/// Checks that a claim is granted again only after its release or for a key first seen after the last grant.
struct GrantChecker {
    std::map<ClaimKey, RequestId> granted;
    std::map<ClaimKey, LogTime> lastGrantTime;

    void check(const ControlCommand& command, const ControlReply& reply, LogTime now)
    {
        if (const auto* const release = std::get_if<ReleaseClaim>(&command.action); release != nullptr && std::get<ClaimReply>(reply).status == ClaimStatus::Released)
            granted.erase(release->key);
        const auto* const claim = std::get_if<Claim>(&command.action);
        if (claim == nullptr || std::get<ClaimReply>(reply).status != ClaimStatus::Granted)
            return;
        const LogTime firstSeen = claim->keyFirstSeen == 0 ? now : claim->keyFirstSeen;
        const bool isGrantAllowed = !granted.contains(claim->key) || firstSeen > lastGrantTime[claim->key];
        cr_assert(isGrantAllowed, "a key first seen before its last grant was granted again");
        granted[claim->key] = claim->request;
        lastGrantTime[claim->key] = now;
    }
};

}

// Guards against any command sequence that breaks an invariant of the state, and against a snapshot that loses state.
Test(ControlState, randomCommands_applied_keepInvariantsAndSnapshots)
{
    for (std::uint64_t seed = 1; seed <= seedCount(8); ++seed) {
        CommandGenerator generator(seed);
        ControlState state;
        ControlState restored;
        InvariantChecker invariants;
        GrantChecker grants;
        std::set<CommandId> seen;
        for (int i = 0; i < 1500; ++i) {
            const ControlCommand command = generator.next();
            const ControlReply reply = state.apply(command);
            cr_assert(restored.apply(decodeCommand(encodeCommand(command)).value()) == reply, "a restored state gave another reply, seed %lu", seed);
            invariants.check(state);
            generator.updateRecordedPulls(state);
            if (seen.insert(command.id).second && !std::holds_alternative<Rejected>(reply))
                grants.check(command, reply, state.now());
            const std::string snapshot = state.snapshot();
            ControlState next;
            cr_assert(next.restore(snapshot).has_value());
            cr_assert(next == state && next.snapshot() == snapshot, "the state differs after a snapshot and restore, seed %lu", seed);
            restored = std::move(next);
        }
    }
}
