#include "azurepaddle/gateway/workspace.hpp"

#include <fmt/format.h>
#include <set>

namespace azurepaddle::gateway {

WorkspaceTable::WorkspaceTable(std::vector<Workspace> workspaces)
    : m_workspaces(std::move(workspaces))
{
    for (std::size_t index = 0; index < m_workspaces.size(); ++index) {
        m_byName.emplace(m_workspaces[index].name, index);
        for (const std::string& key : m_workspaces[index].keys)
            m_byKey.emplace(key, index);
    }
}

std::optional<Caller> WorkspaceTable::findCaller(std::string_view key) const
{
    const auto found = m_byKey.find(key);
    if (found == m_byKey.end())
        return std::nullopt;
    const Workspace& workspace = m_workspaces[found->second];
    return Caller { workspace.name, workspace.priority };
}

Caller WorkspaceTable::callerOf(const WorkspaceName& name) const
{
    const auto found = m_byName.find(name);
    return { name, found == m_byName.end() ? std::nullopt : m_workspaces[found->second].priority };
}

std::optional<std::string> findProblem(const WorkspaceTable& table)
{
    std::set<WorkspaceName> names;
    std::map<std::string_view, const Workspace*> owners;
    for (const Workspace& workspace : table.workspaces()) {
        if (workspace.name.empty())
            return "a workspace has no name";
        if (!names.insert(workspace.name).second)
            return fmt::format("workspace {} is defined twice", workspace.name);
        for (const std::string& key : workspace.keys) {
            if (key.empty())
                return fmt::format("workspace {} has an empty key", workspace.name);
            const auto [owner, isNew] = owners.emplace(key, &workspace);
            if (!isNew && owner->second != &workspace)
                return fmt::format("workspaces {} and {} share a key", owner->second->name, workspace.name);
        }
    }
    return std::nullopt;
}

}
