#include "azurepaddle/registry/software_history.hpp"

namespace azurepaddle::registry {

void SoftwareHistory::record(const ServiceName& service, const SoftwareVersion& software)
{
    const auto known = m_versions.find(service.value());
    if (known == m_versions.end()) {
        if (m_versions.size() < maxServices)
            m_versions[service.value()].insert(software);
        return;
    }
    if (known->second.size() < maxVersions)
        known->second.insert(software);
}

std::optional<SoftwareVersion> SoftwareHistory::soleVersionOf(const ServiceName& service) const
{
    const auto known = m_versions.find(service.value());
    if (known == m_versions.end() || known->second.size() != 1 || known->second.begin()->empty())
        return std::nullopt;
    return *known->second.begin();
}

}
