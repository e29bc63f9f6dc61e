#pragma once

#include <compare>
#include <cstdint>
#include <fmt/format.h>
#include <functional>
#include <string>
#include <utility>

namespace azurepaddle {

/// A name that cannot be confused with a name of another kind. The tag is never defined.
template <typename Tag>
class Identifier {
public:
    Identifier() = default;
    explicit Identifier(std::string value) noexcept
        : m_value(std::move(value))
    {
    }

    [[nodiscard]] const std::string& value() const noexcept { return m_value; }
    [[nodiscard]] bool empty() const noexcept { return m_value.empty(); }

    // clang-tidy 14 mistakes the 0 in a rewritten comparison for a null pointer.
    friend auto operator<=>(const Identifier&, const Identifier&) = default; // NOLINT(modernize-use-nullptr)
    friend bool operator==(const Identifier&, const Identifier&) = default;

private:
    std::string m_value;
};

/// A customer in the configuration of azurepaddled, whose requests and runs share the endpoints with those of others.
using TenantName = Identifier<struct TenantTag>;
/// A customer in the configuration of azurepaddle-node, whose callers identify themselves with keys.
using WorkspaceName = Identifier<struct WorkspaceTag>;
/// One replica of a model engine or of a plain service.
using EndpointId = Identifier<struct EndpointTag>;
/// One azurepaddle process. An instance that lost its disk gets a new identifier.
using InstanceId = Identifier<struct InstanceTag>;
/// The data centre that an instance or endpoint is in.
using DataCentreName = Identifier<struct DataCentreTag>;
/// A named set of interchangeable endpoints.
using ServiceName = Identifier<struct ServiceTag>;
/// One training run of a tenant.
using RunName = Identifier<struct RunTag>;
/// One request of a caller, unique over all instances and restarts.
using RequestId = Identifier<struct RequestTag>;
/// The samples generated for one prompt of a run.
using GroupId = Identifier<struct GroupTag>;

/// Version of the software that an endpoint runs, as it names it. Not ordered: two versions are equal or different.
using SoftwareVersion = Identifier<struct SoftwareVersionTag>;

/// Version of a model's weights, incremented by its trainer.
using WeightVersion = std::uint64_t;

}

template <typename Tag>
struct std::hash<azurepaddle::Identifier<Tag>> {
    [[nodiscard]] std::size_t operator()(const azurepaddle::Identifier<Tag>& identifier) const noexcept
    {
        return std::hash<std::string> {}(identifier.value());
    }
};

template <typename Tag>
struct fmt::formatter<azurepaddle::Identifier<Tag>> : fmt::formatter<std::string> {
    template <typename Context>
    auto format(const azurepaddle::Identifier<Tag>& identifier, Context& context) const
    {
        return fmt::formatter<std::string>::format(identifier.value(), context);
    }
};
