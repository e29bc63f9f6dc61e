#pragma once

#include "azurepaddle/config/settings.hpp"
#include "azurepaddle/config/table.hpp"

namespace azurepaddle::config::internal {

[[nodiscard]] std::span<const Key<InstanceSettings>> instanceKeys();
[[nodiscard]] std::span<const Key<HttpSettings>> httpKeys();
[[nodiscard]] std::span<const Key<PeerSettings>> peerKeys();
[[nodiscard]] std::span<const Key<SecretSettings>> secretKeys();
[[nodiscard]] std::span<const Key<TimingSettings>> timingKeys();
[[nodiscard]] std::span<const Key<LimitSettings>> limitKeys();

}
