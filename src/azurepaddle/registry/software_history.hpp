#pragma once

#include "azurepaddle/core/ident.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>

namespace azurepaddle::registry {

/// The software versions that endpoints of each service have ever run. A stream whose beginning is not recorded can
/// only have been begun by the sole version of its service. Bounded and deterministic; part of the replicated state.
class SoftwareHistory {
public:
    using Versions = std::map<std::string, std::set<SoftwareVersion>>; ///< By service.

    /// More services than a configuration names. The history of further ones is not kept.
    static constexpr std::size_t maxServices = 4096;
    /// With more than one version, none of them is certain, so further ones need not be kept.
    static constexpr std::size_t maxVersions = 2;

    /// Records that an endpoint of the service runs this software. An empty version is an unknown one.
    void record(const ServiceName& service, const SoftwareVersion& software);
    /// The only version that endpoints of the service have ever run; empty if there were several, or if it is unknown.
    [[nodiscard]] std::optional<SoftwareVersion> soleVersionOf(const ServiceName& service) const;

    [[nodiscard]] const Versions& snapshot() const noexcept { return m_versions; }
    void restore(Versions versions) { m_versions = std::move(versions); }

private:
    Versions m_versions;
};

}
