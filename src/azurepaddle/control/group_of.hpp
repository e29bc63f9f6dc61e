#pragma once

#include "azurepaddle/control/command.hpp"

#include <map>
#include <string>
#include <variant>

namespace azurepaddle::control {

/// Name of a log group.
using LogGroupName = Identifier<struct LogGroupTag>;

/// Key of state that belongs to the global group.
struct GlobalKey {
    bool operator==(const GlobalKey&) const = default;
};

/// Key of a piece of control state: the tenant or run that it belongs to, or the global key.
using ControlKey = std::variant<GlobalKey, TenantName, RunName>;

/// Assignment of tenants and runs to log groups. Part of the settings, equal on all instances.
struct GroupLayout {
    LogGroupName global;
    std::map<TenantName, LogGroupName> tenantGroups; ///< Tenants without an entry belong to the global group.
    std::map<RunName, LogGroupName> runGroups; ///< Runs without an entry belong to the global group.

    bool operator==(const GroupLayout&) const = default;
};

/// The key of the state that an action changes. ReportDead and AdvanceTime apply to every group: the global key is
/// returned, and the caller submits them to the other groups as well.
[[nodiscard]] ControlKey keyOf(const ControlAction& action);

/// The group that owns the state of a key.
[[nodiscard]] const LogGroupName& groupOf(const ControlKey& key, const GroupLayout& layout);

}
