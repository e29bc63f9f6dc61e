#include "azurepaddle/control/fixture.hpp"
#include "azurepaddle/core/random.hpp"

#include <set>

using namespace azurepaddle;
using namespace azurepaddle::control;
using namespace azurepaddle::control::test;

namespace {

/// Draws commands from small sets of names, so that they meet, with repeated and late commands among them.
class CommandSource {
public:
    explicit CommandSource(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// Hand-offs are mostly based on the last one recorded, or few of them would be.
    void observe(const ControlState& state)
    {
        for (const auto& [run, record] : state.runs().runs())
            m_recorded[run] = record.pull;
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
        m_sent.push_back({ CommandId(std::to_string(m_sent.size())), m_now, m_now - skew, action() });
        return m_sent.back();
    }

private:
    std::string name(const char* prefix, std::uint64_t count) { return prefix + std::to_string(m_random.below(count)); }
    Holder anyHolder() { return holder(name("instance-", 4), 1 + m_random.below(3)); }
    ClaimKey key() { return { TenantName("blue"), name("k", 6) }; }
    RequestId request() { return RequestId(name("r", 8)); }

    ControlAction action()
    {
        const Fingerprint print(name("f", 3));
        const RunName run(name("run", 2));
        switch (m_random.below(16)) {
        case 0:
            return SubmitConfiguration { 1 + m_random.below(40), name("text", 4) };
        case 1:
            return IssueInstance { name("n", 6), DataCentreName("east"), "1:1" };
        case 2:
            return StartInstance { InstanceId(name("instance-", 4)), 1 + m_random.below(5), "1:1" };
        case 3:
            return ReportDead { InstanceId(name("instance-", 4)), m_random.below(3) };
        case 4:
            return AcquireOrderLease { ServiceName("models"), anyHolder(), 1'000 };
        case 5:
        case 6:
            return Claim { key(), request(), name("b", 2), anyHolder(), m_random.chance(0.5) ? m_now - static_cast<LogTime>(m_random.below(2 * retention)) : 0, retention };
        case 7:
            return CompleteClaim { key(), request(), anyHolder(), {} };
        case 8:
            return ReleaseClaim { key(), request(), anyHolder() };
        case 9:
            return ReportSuspect { print, EndpointId("e"), TenantName("blue"), 0 };
        case 10:
            return AcquireTrial { print, anyHolder(), 1'000, {} };
        case 11:
            return FinishTrial { print, 1 + m_random.below(20), static_cast<TrialResult>(m_random.below(3)), EndpointId("e"), 0 };
        case 12:
            return AcquireRun { run, anyHolder(), 1'000 };
        case 13:
            return SubmitGroups { run, 1 + m_random.below(6), { { GroupId(name("g", 30)), 1 + m_random.below(60), "prompt", static_cast<std::uint32_t>(1 + m_random.below(3)), 10 } } };
        case 14:
            return m_random.chance(0.05) ? ControlAction(ResetRun { run, 1 + m_random.below(6), m_random.below(20), m_random.below(200) + 1, 1, m_random.below(30) }) : ControlAction(SetTrainerVersion { run, 1 + m_random.below(6), m_random.below(50) });
        default:
            return RecordHandOff { run, 1 + m_random.below(6), m_recorded[run], ++m_pull, m_random.below(12), m_random.below(50), groupsOf(), groupsOf() };
        }
    }

    std::vector<GroupId> groupsOf()
    {
        std::vector<GroupId> groups;
        while (m_random.chance(0.4))
            groups.emplace_back(name("g", 30));
        return groups;
    }

    Random m_random;
    LogTime m_now = startTime;
    std::uint64_t m_pull = 0;
    std::map<RunName, std::uint64_t> m_recorded;
    std::vector<ControlCommand> m_sent;
};

/// What must hold after every command, seen from outside.
struct Observer {
    std::uint64_t configuration = 0;
    std::map<std::pair<RunName, Sequence>, std::pair<GroupId, std::size_t>> names;
    std::map<ServiceName, Epoch> epochs;

    void check(const ControlState& state)
    {
        cr_assert(state.configurations().number() >= configuration, "the configuration number fell");
        configuration = state.configurations().number();
        for (const auto& [service, lease] : state.orderLeases().leases()) {
            cr_assert(lease.epoch >= epochs[service], "the epoch of a lease fell");
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
                const auto named = names.emplace(std::pair(run, number), std::pair(id, index)).first->second;
                cr_assert(named == std::pair(id, index), "a sequence number names two samples");
            }
        }
        cr_assert(bytes == record.bodyBytes);
    }
};

/// Counts the grants of each key between releases.
struct GrantCounter {
    std::map<ClaimKey, RequestId> granted;
    std::map<ClaimKey, LogTime> newest;

    void check(const ControlCommand& command, const ControlReply& reply, LogTime now)
    {
        if (const auto* const release = std::get_if<ReleaseClaim>(&command.action); release != nullptr && std::get<ClaimReply>(reply).status == ClaimStatus::Released)
            granted.erase(release->key);
        const auto* const claim = std::get_if<Claim>(&command.action);
        if (claim == nullptr || std::get<ClaimReply>(reply).status != ClaimStatus::Granted)
            return;
        const LogTime firstSeen = claim->keyFirstSeen == 0 ? now : claim->keyFirstSeen;
        const bool isNewKey = !granted.contains(claim->key) || firstSeen > newest[claim->key];
        cr_assert(isNewKey, "a key first seen before its last grant was granted again");
        granted[claim->key] = claim->request;
        newest[claim->key] = now;
    }
};

}

// Guards against any command sequence that breaks an invariant of the state, and against a snapshot that loses state.
Test(ControlState, randomCommands_applied_keepInvariantsAndSnapshots)
{
    for (std::uint64_t seed = 1; seed <= seeds(8); ++seed) {
        CommandSource source(seed);
        ControlState state;
        ControlState restored;
        Observer observer;
        GrantCounter grants;
        std::set<CommandId> seen;
        for (int i = 0; i < 1500; ++i) {
            const ControlCommand command = source.next();
            const ControlReply reply = state.apply(command);
            cr_assert(restored.apply(decodeCommand(encodeCommand(command)).value()) == reply, "a restored state replied differently, seed %lu", seed);
            observer.check(state);
            source.observe(state);
            if (seen.insert(command.id).second && !std::holds_alternative<Rejected>(reply))
                grants.check(command, reply, state.now());
            const std::string snapshot = state.snapshot();
            ControlState next;
            cr_assert(next.restore(snapshot).has_value());
            cr_assert(next == state && next.snapshot() == snapshot, "a snapshot lost state, seed %lu", seed);
            restored = std::move(next);
        }
    }
}
