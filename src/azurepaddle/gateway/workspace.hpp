#pragma once

#include "azurepaddle/core/ident.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azurepaddle::gateway {

/// A customer as configured. Its callers identify themselves with any of its keys.
struct Workspace {
    WorkspaceName name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< Replaces the priority of the routes; 0 is the most urgent.

    friend bool operator==(const Workspace&, const Workspace&) = default;
};

/// On whose behalf a request runs.
struct Caller {
    WorkspaceName workspace; ///< Empty if the caller belongs to no workspace.
    std::optional<std::uint32_t> priority; ///< Priority of the workspace, if it has one.

    friend bool operator==(const Caller&, const Caller&) = default;
};

/// The workspaces of one configuration with indices for look-ups. Immutable.
class WorkspaceTable {
public:
    explicit WorkspaceTable(std::vector<Workspace> workspaces);

    [[nodiscard]] const std::vector<Workspace>& workspaces() const noexcept { return m_workspaces; }
    /// The caller that a key identifies; empty if no workspace has the key.
    [[nodiscard]] std::optional<Caller> findCaller(std::string_view key) const;
    /// The caller on whose behalf stored work of a workspace runs, also if the workspace is no longer configured.
    [[nodiscard]] Caller callerOf(const WorkspaceName& name) const;

private:
    std::vector<Workspace> m_workspaces;
    std::map<std::string, std::size_t, std::less<>> m_byKey;
    std::map<WorkspaceName, std::size_t> m_byName;
};

/// Checks that names and keys are not empty and that no two workspaces share a name or a key. The message names the
/// workspaces concerned, never a key.
[[nodiscard]] std::optional<std::string> findProblem(const WorkspaceTable& table);

}
