#include "azurepaddle/registry/state_machine.hpp"

#include "azurepaddle/core/invariant.hpp"

#include <algorithm>

namespace azurepaddle::registry {

namespace {

    struct StateSnapshot {
        ConfigurationDocument configuration;
        std::map<std::string, WeightVersion> versions;
        std::vector<EndpointRecord> endpoints;
        std::uint64_t directoryRevision = 0;
        std::vector<batch::JobSnapshot> jobs;
        OrderRecord orders;
        std::set<std::string> retiring;
        std::vector<batch::TextPart> texts;
        std::vector<CrashRecord> crashes;
        std::uint64_t suspectsRevision = 0;
        std::vector<StreamRecord> streams;
        SoftwareHistory::Versions softwareHistory;
        UsageLedger::Snapshot usage;
        std::vector<scaling::ScaleOrder> scaleOrders;
        MSGPACK_DEFINE(configuration, versions, endpoints, directoryRevision, jobs, orders, retiring, texts, crashes, suspectsRevision, streams, softwareHistory, usage, scaleOrders)
    };

    // A snapshot contains all jobs, which may exceed the size limit of messages between instances.
    constexpr codec::Limits snapshotLimits { 512U * 1024U * 1024U, 16U * 1024U * 1024U, 32 };

}

std::string StateMachine::apply(const std::string& bytes)
{
    auto command = decodeCommand(bytes);
    AZUREPADDLE_INVARIANT(command.has_value(), "a command in the replicated log cannot be read");
    return std::visit([this](auto& alternative) { return execute(std::move(alternative)); }, *command);
}

std::string StateMachine::execute(PutConfiguration command)
{
    ConfigurationOutcome outcome = ConfigurationOutcome::NotNewer;
    if (command.document.version > m_configuration.version) {
        m_configuration = std::move(command.document);
        outcome = ConfigurationOutcome::Accepted;
    } else if (command.document.version == m_configuration.version && command.document.text != m_configuration.text) {
        outcome = ConfigurationOutcome::Conflict;
    }
    return codec::encode(outcome);
}

std::string StateMachine::execute(const PublishVersion& command)
{
    WeightVersion& version = m_versions[command.model.value()];
    version = std::max(version, command.version);
    return {};
}

std::string StateMachine::execute(const SetEndpoint& command)
{
    m_directory.set(command.record);
    m_softwareHistory.record(command.record.service, command.record.software);
    return {};
}

std::string StateMachine::execute(const DeregisterEndpoint& command)
{
    m_directory.deregister(command.incarnation);
    return {};
}

std::string StateMachine::execute(const RemoveEndpoint& command)
{
    m_directory.remove(command.incarnation);
    return {};
}

std::string StateMachine::execute(AcceptJob command)
{
    m_jobs.accept(std::move(command.spec));
    return {};
}

std::string StateMachine::execute(RecordResults command)
{
    for (const batch::ScoredItem& scored : command.scored) {
        if (auto result = m_texts.resultOf(scored))
            command.results.push_back(std::move(*result));
    }
    m_jobs.recordResults(command.job, command.results);
    for (const batch::ItemResult& result : command.results)
        m_texts.remove(result.id);
    return {};
}

std::string StateMachine::execute(const EndJob& command)
{
    m_jobs.end(command.job);
    return {};
}

std::string StateMachine::execute(const RemoveJob& command)
{
    if (const batch::Job* job = m_jobs.find(command.job)) {
        for (const batch::ItemSpec& item : job->spec.items)
            m_texts.remove(item.id);
    }
    m_jobs.remove(command.job);
    return {};
}

std::string StateMachine::execute(ClaimOrders command)
{
    if (command.fence > m_orders.holder.fence)
        m_orders = { std::move(command), false, m_orders.changes + 1 };
    return {};
}

std::string StateMachine::execute(const SetOrderWindow& command)
{
    if (command.fence == m_orders.holder.fence) {
        m_orders.isOpen = command.isOpen;
        ++m_orders.changes;
    }
    return {};
}

std::string StateMachine::execute(const RetireInstance& command)
{
    m_retiring.insert(command.instance);
    return {};
}

std::string StateMachine::execute(const AppendTexts& command)
{
    for (const batch::TextPart& part : command.parts)
        m_texts.add(part);
    return {};
}

std::string StateMachine::execute(const ReportSuspects& command)
{
    for (const EndpointCrash& crash : command.crashes)
        m_suspects.add(crash, command.reportedMs);
    for (const RequestFingerprint& request : command.cleared)
        m_suspects.clear(request);
    return {};
}

std::string StateMachine::execute(const ExpireCrashes& command)
{
    m_suspects.expireBefore(command.beforeMs);
    return {};
}

std::string StateMachine::execute(const RecordItemFailures& command)
{
    m_jobs.recordFailures(command.job, command.failures);
    return {};
}

std::string StateMachine::execute(const RecordLoadedVersion& command)
{
    m_directory.recordVersion(command.incarnation, command.model, command.version);
    return {};
}

std::string StateMachine::execute(const RecordStreams& command)
{
    for (const StreamRecord& stream : command.streams)
        m_streams.record(stream);
    return {};
}

std::string StateMachine::execute(const RecordUsage& command)
{
    for (const UsageReport& report : command.reports)
        m_usage.record(report);
    return {};
}

std::string StateMachine::execute(const SealUsage& command)
{
    m_usage.seal(command.window);
    return {};
}

std::string StateMachine::execute(const ConfirmUsage& command)
{
    m_usage.confirm(command.window);
    return {};
}

std::string StateMachine::execute(const RecordScaleOrder& command)
{
    std::erase_if(m_scaleOrders, [&command](const scaling::ScaleOrder& order) { return order.group == command.order.group; });
    m_scaleOrders.push_back(command.order);
    return {};
}

std::optional<WeightVersion> StateMachine::publishedVersion(const batch::ModelName& model) const
{
    const auto found = m_versions.find(model.value());
    return found == m_versions.end() ? std::nullopt : std::optional(found->second);
}

std::optional<StreamOrigin> StateMachine::originOf(const StreamId& stream, const ServiceName& service) const
{
    if (auto recorded = m_streams.find(stream))
        return recorded;
    const auto software = m_softwareHistory.soleVersionOf(service);
    return software ? std::optional(StreamOrigin { service, *software }) : std::nullopt;
}

std::string StateMachine::snapshot() const
{
    StateSnapshot state { m_configuration, m_versions, {}, m_directory.revision(), m_jobs.snapshot(), m_orders, m_retiring, m_texts.snapshot(), m_suspects.crashes(), m_suspects.revision(), m_streams.snapshot(), m_softwareHistory.snapshot(), m_usage.snapshot(), m_scaleOrders };
    for (const auto& [id, record] : m_directory.records())
        state.endpoints.push_back(record);
    return codec::encode(state);
}

bool StateMachine::restore(const std::string& bytes)
{
    auto state = codec::decode<StateSnapshot>(bytes, snapshotLimits);
    if (!state)
        return false;
    m_configuration = std::move(state->configuration);
    m_versions = std::move(state->versions);
    m_directory.restore(state->endpoints, state->directoryRevision);
    m_jobs.restore(std::move(state->jobs));
    m_orders = std::move(state->orders);
    m_retiring = std::move(state->retiring);
    m_texts.restore(state->texts);
    m_suspects.restore(std::move(state->crashes), state->suspectsRevision);
    m_streams.restore(state->streams);
    m_softwareHistory.restore(std::move(state->softwareHistory));
    m_usage.restore(state->usage);
    m_scaleOrders = std::move(state->scaleOrders);
    // A snapshot of an earlier release has no history, and its records name no software.
    for (const EndpointRecord& record : state->endpoints)
        m_softwareHistory.record(record.service, record.software);
    return true;
}

}
