#pragma once

#include "azurepaddle/config/configuration.hpp"
#include "azurepaddle/config/table.hpp"

namespace azurepaddle::config::internal {

[[nodiscard]] std::span<const Key<Configuration::Sections>> numberKeys();
[[nodiscard]] std::span<const Key<DefaultsConfiguration>> defaultsKeys();
[[nodiscard]] std::span<const Key<TenantConfiguration>> tenantKeys();
[[nodiscard]] std::span<const Key<ServiceConfiguration>> serviceKeys();
[[nodiscard]] std::span<const Key<RunConfiguration>> runKeys();

}
