#pragma once

#include <string>

namespace azurepaddle::config {

/// Markdown text that describes every key of the daemon's settings and of the operators' configuration with unit,
/// default, range and meaning. docs/settings.md is this text.
[[nodiscard]] std::string settingsDocumentation();

}
