#ifndef RAGWORTMUX_VERSION_CATALOGUERECORDS_H
#define RAGWORTMUX_VERSION_CATALOGUERECORDS_H

#include "ragwortmux/Core/ResultCode.h"
#include "ragwortmux/Version/CatalogueEntry.h"
#include "ragwortmux/Version/GroupPolicy.h"
#include "ragwortmux/Version/WorkspaceRecords.h"

#include <string>
#include <vector>

namespace ragwortmux {

/// An entry together with its revision.
struct CatalogueItem final {
  Revision m_Revision; ///< Revision of its last change; the next change has to
                       ///< name it.
  CatalogueEntry m_Entry; ///< The entry.

  friend bool operator==(const CatalogueItem &,
                         const CatalogueItem &) = default;
};

/// An accepted change, stored for the history and to recognise resends.
struct CatalogueChange final {
  Revision m_Revision;    ///< The revision after the change.
  Revision m_Expected;    ///< The entry's revision that the change replaced.
  ChangeId m_Change;      ///< The operator's id of the change.
  std::string m_Operator; ///< The operator who made the change.
  WallTime m_At{};        ///< The log's time of the change.
  bool m_Deleted = false; ///< True if the entry was deleted.
  CatalogueEntry
      m_Entry; ///< The entry after the change, or before its deletion.

  friend bool operator==(const CatalogueChange &,
                         const CatalogueChange &) = default;
};

/// A deletion that proxies may not have received yet.
struct CatalogueDeletion final {
  Revision m_Revision; ///< Revision of the deletion.
  EntryName m_Name;    ///< Name of the deleted entry.

  friend bool operator==(const CatalogueDeletion &,
                         const CatalogueDeletion &) = default;
};

/// All changes of the catalogue after a proxy's revision.
struct CatalogueDelta final {
  Revision m_From;        ///< The proxy's revision; 0 if m_IsWhole.
  Revision m_Revision;    ///< The revision after the delta has been applied.
  bool m_IsWhole = false; ///< True if this is the whole catalogue; entries and
                          ///< workspaces that it does not list are
                          ///< deleted.
  std::vector<CatalogueItem> m_Items;         ///< Created or changed entries.
  std::vector<CatalogueDeletion> m_Deletions; ///< Deleted entries.
  std::vector<WorkspaceItem> m_Workspaces; ///< Created or changed workspaces.
  std::vector<WorkspaceDeletion> m_WorkspaceDeletions; ///< Deleted workspaces.

  friend bool operator==(const CatalogueDelta &,
                         const CatalogueDelta &) = default;
};

/// The whole catalogue as plain data, for snapshots.
struct CatalogueData final {
  Revision m_Revision;           ///< Revision of the last change.
  Revision m_LastPrunedDeletion; ///< Revision of the latest deletion that is
                                 ///< not in m_Deletions.
  std::vector<CatalogueItem> m_Items;         ///< Ordered by name.
  std::vector<CatalogueDeletion> m_Deletions; ///< Ordered by revision.
  std::vector<CatalogueChange> m_History; ///< Ordered by name, then revision.
  std::vector<CatalogueChange>
      m_RecentChanges; ///< Latest changes, to recognise resends by their ids.
  CatalogueVersion m_Version; ///< The operator's version; 0: never replaced.
  std::string
      m_Document; ///< The document that the operator sent with m_Version.
  std::vector<GroupPolicy> m_Groups; ///< Policies of groups.
  WorkspaceTableData m_Workspaces;   ///< The workspaces.

  friend bool operator==(const CatalogueData &,
                         const CatalogueData &) = default;
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_CATALOGUERECORDS_H
