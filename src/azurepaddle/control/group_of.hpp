#pragma once

#include "azurepaddle/control/command.hpp"

#include <map>
#include <string>
#include <variant>

namespace azurepaddle::control {

/// A log group.
using LogGroupName = Identifier<struct LogGroupTag>;

/// Names state that the global group owns.
struct GlobalKey {
    bool operator==(const GlobalKey&) const = default;
};

/// Names what a piece of control state belongs to.
using ControlKey = std::variant<GlobalKey, TenantName, RunName>;

/// Which group holds what. Settings, equal on all instances.
struct GroupLayout {
    LogGroupName global;
    std::map<TenantName, LogGroupName> tenantHomes; ///< Tenants without an entry are at home in the global group.
    std::map<RunName, LogGroupName> runHomes; ///< Runs without an entry are at home in the global group.

    bool operator==(const GroupLayout&) const = default;
};

/// The key of the state that an action changes. ReportDead and AdvanceTime concern every group and give the global key;
/// the caller submits them to the others as well.
[[nodiscard]] ControlKey keyOf(const ControlAction& action);

/// The group that owns the state of a key.
[[nodiscard]] const LogGroupName& groupOf(const ControlKey& key, const GroupLayout& layout);

}
