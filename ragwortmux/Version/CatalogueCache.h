#ifndef RAGWORTMUX_VERSION_CATALOGUECACHE_H
#define RAGWORTMUX_VERSION_CATALOGUECACHE_H

#include "ragwortmux/Version/CatalogueRecords.h"

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace ragwortmux {

/// An entry process's copy of the catalogue. Never goes back to an earlier
/// revision. The cost of a look-up does not grow with the number of workspaces.
class CatalogueCache final {
public:
  /// Applies \p Delta. Returns false and changes nothing if it is not newer
  /// than revision() or starts from a later revision.
  bool apply(const CatalogueDelta &Delta);

  /// The entry \p Name; null if there is none.
  std::shared_ptr<const CatalogueEntry> find(const EntryName &Name) const;
  /// The workspace that holds \p Key; null if there is none.
  std::shared_ptr<const Workspace> findWorkspace(const KeyDigest &Key) const;
  /// The workspace \p Name; null if there is none.
  std::shared_ptr<const Workspace> workspace(const WorkspaceId &Name) const;

  /// True once the cache has received a catalogue that has ever contained an
  /// entry.
  bool isKnown() const { return m_Revision > Revision(); }
  /// The latest applied revision.
  Revision revision() const { return m_Revision; }
  /// The groups that the entries name.
  std::set<GroupId> groups() const;
  /// The groups of the entries whose callers need keys.
  std::set<GroupId> keyedGroups() const;
  /// The number of entries.
  std::size_t size() const { return m_Entries.size(); }
  /// The number of workspaces.
  std::size_t workspaceCount() const { return m_Workspaces.size(); }

private:
  void applyWorkspaces(const CatalogueDelta &Delta);
  void releaseKeys(const WorkspaceId &Name);

  Revision m_Revision; ///< Latest applied revision.
  std::map<EntryName, std::shared_ptr<const CatalogueEntry>>
      m_Entries; ///< Entries by name.
  std::unordered_map<WorkspaceId, std::shared_ptr<const Workspace>>
      m_Workspaces; ///< Workspaces by name.
  std::unordered_map<KeyDigest, std::shared_ptr<const Workspace>>
      m_Holders; ///< Workspaces by key.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_CATALOGUECACHE_H
