#include "azurepaddle/control/group_of.hpp"

namespace azurepaddle::control {

namespace {

    template <typename Action>
    ControlKey keyOfAction(const Action& action)
    {
        if constexpr (requires { action.key.tenant; })
            return action.key.tenant;
        else if constexpr (requires { action.run; })
            return action.run;
        else
            return GlobalKey {};
    }

    const LogGroupName& findGroup(const GlobalKey&, const GroupLayout& layout) { return layout.global; }

    const LogGroupName& findGroup(const TenantName& tenant, const GroupLayout& layout)
    {
        const auto found = layout.tenantGroups.find(tenant);
        return found == layout.tenantGroups.end() ? layout.global : found->second;
    }

    const LogGroupName& findGroup(const RunName& run, const GroupLayout& layout)
    {
        const auto found = layout.runGroups.find(run);
        return found == layout.runGroups.end() ? layout.global : found->second;
    }

}

ControlKey keyOf(const ControlAction& action)
{
    return std::visit([](const auto& alternative) { return keyOfAction(alternative); }, action);
}

const LogGroupName& groupOf(const ControlKey& key, const GroupLayout& layout)
{
    return std::visit([&](const auto& name) -> const LogGroupName& { return findGroup(name, layout); }, key);
}

}
