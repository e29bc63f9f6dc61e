#pragma once

#include "azurepaddle/registry/commands.hpp"
#include "azurepaddle/registry/directory.hpp"
#include "azurepaddle/registry/software_history.hpp"
#include "azurepaddle/registry/suspects.hpp"

namespace azurepaddle::registry {

/// The replicated state: the configuration, published weight versions, endpoints, batch jobs, the holder of the order
/// right, retiring instances, requests during which endpoints crashed, what began streams, the software that services
/// have run, the usage of workspaces, and the numbers of endpoints ordered. Deterministic.
class StateMachine {
public:
    /// Outputs of batch jobs are kept in files of the folder, or in memory if the path is empty.
    explicit StateMachine(std::string scratchFolder = {})
        : m_jobs(std::move(scratchFolder))
    {
    }

    /// Applies an encoded command. Returns an encoded ConfigurationOutcome for PutConfiguration, otherwise an empty
    /// string.
    [[nodiscard]] std::string apply(const std::string& bytes);
    [[nodiscard]] std::string snapshot() const;
    [[nodiscard]] std::size_t snapshotSize() const noexcept { return m_jobs.bytes(); }
    [[nodiscard]] bool restore(const std::string& bytes);

    [[nodiscard]] const ConfigurationDocument& configuration() const noexcept { return m_configuration; }
    /// The newest published version of a model; empty if none was published.
    [[nodiscard]] std::optional<WeightVersion> publishedVersion(const batch::ModelName& model) const;
    [[nodiscard]] const std::map<std::string, WeightVersion>& publishedVersions() const noexcept { return m_versions; }
    [[nodiscard]] const Directory& directory() const noexcept { return m_directory; }
    [[nodiscard]] const batch::JobStore& jobs() const noexcept { return m_jobs; }
    [[nodiscard]] const batch::TextStore& texts() const noexcept { return m_texts; }
    [[nodiscard]] const OrderRecord& orders() const noexcept { return m_orders; }
    [[nodiscard]] const std::set<std::string>& retiring() const noexcept { return m_retiring; }
    /// The last order for each group of endpoints. The last element is the newest one; if it is an order to send, it may not have been sent.
    [[nodiscard]] const std::vector<scaling::ScaleOrder>& scaleOrders() const noexcept { return m_scaleOrders; }
    [[nodiscard]] const Suspects& suspects() const noexcept { return m_suspects; }
    /// What began a stream, as far as it is certain: as recorded, or else the only software that endpoints of the service
    /// have ever run. The service is empty if it is not known; so is the stream if it has no identifier.
    [[nodiscard]] std::optional<StreamOrigin> originOf(const StreamId& stream, const ServiceName& service) const;
    [[nodiscard]] const Streams& streams() const noexcept { return m_streams; }
    [[nodiscard]] const UsageLedger& usage() const noexcept { return m_usage; }

private:
    std::string execute(PutConfiguration command);
    std::string execute(const PublishVersion& command);
    std::string execute(const SetEndpoint& command);
    std::string execute(const DeregisterEndpoint& command);
    std::string execute(const RemoveEndpoint& command);
    std::string execute(AcceptJob command);
    std::string execute(RecordResults command);
    std::string execute(const EndJob& command);
    std::string execute(const RemoveJob& command);
    std::string execute(ClaimOrders command);
    std::string execute(const RetireInstance& command);
    std::string execute(const AppendTexts& command);
    std::string execute(const SetOrderWindow& command);
    std::string execute(const ReportSuspects& command);
    std::string execute(const ExpireCrashes& command);
    std::string execute(const RecordItemFailures& command);
    std::string execute(const RecordLoadedVersion& command);
    std::string execute(const RecordStreams& command);
    std::string execute(const RecordUsage& command);
    std::string execute(const SealUsage& command);
    std::string execute(const ConfirmUsage& command);
    std::string execute(const RecordScaleOrder& command);

    ConfigurationDocument m_configuration;
    std::map<std::string, WeightVersion> m_versions; ///< Newest published version by model.
    Directory m_directory;
    batch::JobStore m_jobs;
    batch::TextStore m_texts;
    OrderRecord m_orders;
    std::set<std::string> m_retiring;
    Suspects m_suspects;
    Streams m_streams;
    SoftwareHistory m_softwareHistory;
    UsageLedger m_usage;
    std::vector<scaling::ScaleOrder> m_scaleOrders; ///< One for each group of endpoints, oldest first.
};

}
