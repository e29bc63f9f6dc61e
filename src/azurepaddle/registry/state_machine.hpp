#pragma once

#include "azurepaddle/registry/commands.hpp"
#include "azurepaddle/registry/directory.hpp"
#include "azurepaddle/registry/suspects.hpp"

namespace azurepaddle::registry {

/// All that the instances agree on: the configuration, versions of weights, endpoints, batch jobs, the holder of the
/// order right, instances to be emptied, and requests under which endpoints crashed. Deterministic.
class StateMachine {
public:
    /// Outputs of batch jobs are kept in files of the folder, or in memory if it is empty.
    explicit StateMachine(std::string scratchFolder = {})
        : m_jobs(std::move(scratchFolder))
    {
    }

    /// Applies an encoded command. The reply is an encoded ConfigurationOutcome for PutConfiguration, and empty otherwise.
    [[nodiscard]] std::string apply(const std::string& bytes);
    [[nodiscard]] std::string snapshot() const;
    [[nodiscard]] std::size_t snapshotSize() const noexcept { return m_jobs.bytes(); }
    [[nodiscard]] bool restore(const std::string& bytes);

    [[nodiscard]] const ConfigurationDocument& configuration() const noexcept { return m_configuration; }
    /// The newest named version of a model; nothing if none was named.
    [[nodiscard]] std::optional<WeightVersion> publishedVersion(const batch::ModelName& model) const;
    [[nodiscard]] const std::map<std::string, WeightVersion>& publishedVersions() const noexcept { return m_versions; }
    [[nodiscard]] const Directory& directory() const noexcept { return m_directory; }
    [[nodiscard]] const batch::JobStore& jobs() const noexcept { return m_jobs; }
    [[nodiscard]] const batch::TextStore& texts() const noexcept { return m_texts; }
    [[nodiscard]] const OrderRecord& orders() const noexcept { return m_orders; }
    [[nodiscard]] const std::set<std::string>& retiring() const noexcept { return m_retiring; }
    [[nodiscard]] const Suspects& suspects() const noexcept { return m_suspects; }

private:
    std::string run(PutConfiguration command);
    std::string run(const PublishVersion& command);
    std::string run(const SetEndpoint& command);
    std::string run(const DeregisterEndpoint& command);
    std::string run(const RemoveEndpoint& command);
    std::string run(AcceptJob command);
    std::string run(RecordResults command);
    std::string run(const EndJob& command);
    std::string run(const RemoveJob& command);
    std::string run(ClaimOrders command);
    std::string run(const RetireInstance& command);
    std::string run(const AppendTexts& command);
    std::string run(const SetOrderWindow& command);
    std::string run(const ReportSuspects& command);
    std::string run(const ForgetCrashes& command);
    std::string run(const RecordItemFailures& command);

    ConfigurationDocument m_configuration;
    std::map<std::string, WeightVersion> m_versions; ///< Named ones, by model.
    Directory m_directory;
    batch::JobStore m_jobs;
    batch::TextStore m_texts;
    OrderRecord m_orders;
    std::set<std::string> m_retiring;
    Suspects m_suspects;
};

}
