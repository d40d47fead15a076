#ifndef RAGWORTMUX_VERSION_CATALOGUERECORDS_H
#define RAGWORTMUX_VERSION_CATALOGUERECORDS_H

#include "ragwortmux/Core/ResultCode.h"
#include "ragwortmux/Version/CatalogueEntry.h"
#include "ragwortmux/Version/GroupPolicy.h"

#include <string>
#include <vector>

namespace ragwortmux {

/// An entry together with its revision.
struct CatalogueItem final {
  Revision m_Revision; ///< The change that made it; expected by the next one.
  CatalogueEntry m_Entry; ///< The entry.

  friend bool operator==(const CatalogueItem &,
                         const CatalogueItem &) = default;
};

/// One accepted change, for the history and for resends.
struct CatalogueChange final {
  Revision m_Revision;    ///< The revision that the change made.
  Revision m_Expected;    ///< The entry's revision that the change replaced.
  ChangeId m_Change;      ///< The operator's id of the change.
  std::string m_Operator; ///< Who changed it.
  WallTime m_At{};        ///< The log's time of the change.
  bool m_Deleted = false; ///< True if the entry was deleted.
  CatalogueEntry m_Entry; ///< The entry after the change; if deleted, before.

  friend bool operator==(const CatalogueChange &,
                         const CatalogueChange &) = default;
};

/// A deleted name that proxies may still have to hear of.
struct CatalogueDeletion final {
  Revision m_Revision; ///< The change that deleted it.
  EntryName m_Name;    ///< The name.

  friend bool operator==(const CatalogueDeletion &,
                         const CatalogueDeletion &) = default;
};

/// Everything that changed after a proxy's revision.
struct CatalogueDelta final {
  Revision m_From;      ///< The proxy's revision; 0 if m_Whole.
  Revision m_Revision;  ///< The revision after the delta has been applied.
  bool m_Whole = false; ///< The whole catalogue: names not listed are deleted.
  std::vector<CatalogueItem> m_Items;         ///< Entries put.
  std::vector<CatalogueDeletion> m_Deletions; ///< Entries deleted.

  friend bool operator==(const CatalogueDelta &,
                         const CatalogueDelta &) = default;
};

/// The whole catalogue as plain data, for snapshots.
struct CatalogueData final {
  Revision m_Revision;          ///< The last change.
  Revision m_ForgottenDeletion; ///< The newest deletion not listed any more.
  std::vector<CatalogueItem> m_Items;         ///< Ordered by name.
  std::vector<CatalogueDeletion> m_Deletions; ///< Ordered by revision.
  std::vector<CatalogueChange> m_History;     ///< Ordered by revision.
  std::vector<CatalogueChange> m_Recent; ///< Changes whose ids are remembered.
  CatalogueVersion m_Version; ///< The operator's version; 0: never replaced.
  std::string m_Document;     ///< What the operator sent under it.
  std::vector<GroupPolicy> m_Groups; ///< Policies of groups.

  friend bool operator==(const CatalogueData &,
                         const CatalogueData &) = default;
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_CATALOGUERECORDS_H
