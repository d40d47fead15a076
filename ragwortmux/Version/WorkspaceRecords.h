#ifndef RAGWORTMUX_VERSION_WORKSPACERECORDS_H
#define RAGWORTMUX_VERSION_WORKSPACERECORDS_H

#include "ragwortmux/Version/Workspace.h"

#include <vector>

/// \file
/// Records of the workspaces in snapshots and in updates to entry hosts.

namespace ragwortmux {

/// A workspace together with its revision.
struct WorkspaceItem final {
  Revision m_Revision;   ///< Revision of its last change; the next change has
                         ///< to name it.
  Workspace m_Workspace; ///< The workspace.

  friend bool operator==(const WorkspaceItem &,
                         const WorkspaceItem &) = default;
};

/// A deletion that entry hosts may not have received yet.
struct WorkspaceDeletion final {
  Revision m_Revision; ///< Revision of the deletion.
  WorkspaceId m_Name;  ///< Name of the deleted workspace.

  friend bool operator==(const WorkspaceDeletion &,
                         const WorkspaceDeletion &) = default;
};

/// An accepted change of a workspace, stored to recognise a resend.
struct WorkspaceChange final {
  Revision m_Revision;    ///< The revision after the change.
  Revision m_Expected;    ///< The revision that the change replaced.
  ChangeId m_Change;      ///< The operator's id of the change.
  bool m_Deleted = false; ///< True if the workspace was deleted.
  Workspace m_Workspace;  ///< After the change; only the name of a deletion.

  friend bool operator==(const WorkspaceChange &,
                         const WorkspaceChange &) = default;
};

/// All workspaces as plain data, for snapshots.
struct WorkspaceTableData final {
  std::vector<WorkspaceItem> m_Items;           ///< Ordered by name.
  std::vector<WorkspaceDeletion> m_Deletions;   ///< Ordered by revision.
  std::vector<WorkspaceChange> m_RecentChanges; ///< Latest changes.
  Revision m_LastPrunedDeletion; ///< Revision of the latest deletion that is
                                 ///< not in m_Deletions.

  friend bool operator==(const WorkspaceTableData &,
                         const WorkspaceTableData &) = default;
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_WORKSPACERECORDS_H
