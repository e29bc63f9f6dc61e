#include "azurepaddle/config/configuration.hpp"
#include "azurepaddle/config/configuration_table.hpp"

namespace azurepaddle::config {

namespace {

    using namespace internal;

    /// Reads a file and collects all problems in one list.
    class ConfigurationReader {
    public:
        ConfigurationReader(std::string_view text, std::string_view file)
            : m_file(file)
            , m_found(readIni(text, file, m_problems))
        {
        }

        [[nodiscard]] tl::expected<Configuration, Problems> read()
        {
            readFixed();
            for (const IniSection& section : m_found)
                readNamed(section);
            checkTokens();
            for (const auto& [name, service] : m_sections.services)
                checkService(name, service);
            for (const auto& [name, run] : m_sections.runs)
                checkRun(name, run);
            if (!m_problems.empty())
                return tl::unexpected(m_problems);
            return Configuration(std::move(m_sections));
        }

    private:
        /// Reads the defaults before the sections that inherit them, regardless of their order in the file.
        void readFixed()
        {
            bool hasNumber = false;
            for (const IniSection& section : m_found) {
                if (section.title == "configuration") {
                    hasNumber = true;
                    readSection(section, numberKeys(), m_file, m_sections, m_problems);
                } else if (section.title == "defaults") {
                    readSection(section, defaultsKeys(), m_file, m_sections.defaults, m_problems);
                }
            }
            if (!hasNumber)
                report("configuration", "number", "required, but not given");
            if (m_sections.defaults.deadlineShort > m_sections.defaults.deadlineLong)
                report("defaults", "deadline_short", "is longer than deadline_long");
        }

        void readNamed(const IniSection& section)
        {
            if (section.title == "configuration" || section.title == "defaults")
                return;
            if (section.kind != "tenant" && section.kind != "service" && section.kind != "run")
                return report(section.title, {}, "unknown section");
            if (!isName(section.name))
                return report(section.title, {}, fmt::format("needs a name of 1 to 40 letters, digits, '.', '_' and '-' after {}", section.kind));
            if (section.kind == "tenant")
                readSection(section, tenantKeys(), m_file, addTenant(section.name), m_problems);
            else if (section.kind == "service")
                readSection(section, serviceKeys(), m_file, addService(section.name), m_problems);
            else
                readSection(section, runKeys(), m_file, m_sections.runs[RunName(section.name)], m_problems);
        }

        [[nodiscard]] TenantConfiguration& addTenant(const std::string& name)
        {
            TenantConfiguration& tenant = m_sections.tenants[TenantName(name)];
            tenant.retryBudget = m_sections.defaults.retryBudget;
            return tenant;
        }

        [[nodiscard]] ServiceConfiguration& addService(const std::string& name)
        {
            const DefaultsConfiguration& defaults = m_sections.defaults;
            ServiceConfiguration& service = m_sections.services[ServiceName(name)];
            service.deadlineShort = defaults.deadlineShort;
            service.deadlineLong = defaults.deadlineLong;
            service.exclusionFraction = defaults.exclusionFraction;
            service.longShare = defaults.longShare;
            return service;
        }

        void checkTokens()
        {
            std::map<std::string, TenantName> owners;
            for (const auto& [name, tenant] : m_sections.tenants) {
                for (const std::string& digest : tenant.tokenSha256) {
                    const auto [owner, isNew] = owners.emplace(digest, name);
                    if (!isNew)
                        report(fmt::format("tenant {}", name), "token_sha256", fmt::format("repeats a digest of tenant {}", owner->second));
                }
            }
        }

        void checkService(const ServiceName& name, const ServiceConfiguration& service)
        {
            const std::string title = fmt::format("service {}", name);
            if (service.deadlineShort > service.deadlineLong)
                report(title, "deadline_short", "is longer than deadline_long");
            if (!service.isEngine() && service.checksFencing)
                report(title, "checks_fencing", "contradicts kind plain: plain services get no orders");
            if (service.versionSource.empty())
                return;
            const auto run = m_sections.runs.find(RunName(service.versionSource));
            if (!service.isEngine())
                report(title, "version_source", "contradicts kind plain: plain services have no weight versions");
            if (run == m_sections.runs.end())
                report(title, "version_source", fmt::format("names run {}, which is not configured", service.versionSource));
            else if (run->second.service != name.value())
                report(title, "version_source", fmt::format("names run {}, which uses service {}", service.versionSource, run->second.service));
        }

        void checkRun(const RunName& name, const RunConfiguration& run)
        {
            const std::string title = fmt::format("run {}", name);
            if (!run.tenant.empty() && !m_sections.tenants.contains(TenantName(run.tenant)))
                report(title, "tenant", fmt::format("names tenant {}, which is not configured", run.tenant));
            checkReference(title, "service", run.service, "engine");
            checkReference(title, "scoring_service", run.scoringService, "plain");
            if (run.maxGroupSize > run.samplesPerHandoff)
                report(title, "max_group_size", fmt::format("is {}, but a hand-off has {} samples and groups are never divided", run.maxGroupSize, run.samplesPerHandoff));
        }

        void checkReference(const std::string& title, std::string_view key, const std::string& service, std::string_view kind)
        {
            if (service.empty())
                return;
            const auto found = m_sections.services.find(ServiceName(service));
            if (found == m_sections.services.end())
                report(title, key, fmt::format("names service {}, which is not configured", service));
            else if (found->second.kind != kind)
                report(title, key, fmt::format("names service {}, which is not of kind {}", service, kind));
        }

        void report(std::string_view section, std::string_view key, std::string reason)
        {
            m_problems.push_back({ m_file, std::string(section), std::string(key), std::move(reason) });
        }

        std::string m_file;
        Problems m_problems;
        std::vector<IniSection> m_found;
        Configuration::Sections m_sections;
    };

}

tl::expected<Configuration, Problems> parseConfiguration(std::string_view text, std::string_view file)
{
    return ConfigurationReader(text, file).read();
}

}
