#ifndef RAGWORTMUX_VERSION_CATALOGUE_H
#define RAGWORTMUX_VERSION_CATALOGUE_H

#include "ragwortmux/Version/CatalogueRecords.h"
#include "ragwortmux/Version/ControlResult.h"
#include "ragwortmux/Version/WorkspaceTable.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace ragwortmux {

struct DeleteEntry;
struct DeleteWorkspace;
struct PutEntry;
struct PutWorkspace;
struct ReplaceCatalogue;

/// The catalogue of entries. Changes compare and set an entry's revision and
/// are idempotent by change id.
///
/// A resent change returns the first result as long as its id is among the last
/// Settings::m_MaxRecentChanges accepted changes. An older one is refused as a
/// conflict, because the entry has a later revision by then.
class Catalogue final {
public:
  /// Bounds of the catalogue.
  struct Settings final {
    std::size_t m_MaxEntries = 10000; ///< Maximum number of entries.
    std::size_t m_MaxRecentChanges =
        1024; ///< Change ids stored to recognise resends.
    std::size_t m_MaxChangesPerEntry = 16; ///< Changes stored per name.
    std::size_t m_MaxDeletions = 1024;     ///< Deletions stored for deltas.
    WorkspaceTable::Settings m_Workspaces; ///< Bounds of the workspaces.
  };

  explicit Catalogue(const Settings &Bounds)
      : m_Settings(Bounds), m_Workspaces(Bounds.m_Workspaces) {}

  /// Creates or replaces an entry at log time \p Now.
  ControlResult put(const PutEntry &Command, WallTime Now);
  /// Deletes an entry at log time \p Now.
  ControlResult erase(const DeleteEntry &Command, WallTime Now);

  /// Creates or replaces a workspace.
  ControlResult put(const PutWorkspace &Command);
  /// Deletes a workspace.
  ControlResult erase(const DeleteWorkspace &Command);

  /// Replaces all entries and workspaces. Only those that differ get a new
  /// revision, so that deltas stay small.
  ControlResult replace(const ReplaceCatalogue &Command);

  CatalogueData exportData() const;
  void importData(const CatalogueData &Data);

  /// The revision of the last change.
  Revision revision() const { return m_Revision; }
  /// The operator's version of the whole catalogue; 0 if it was never replaced.
  CatalogueVersion version() const { return m_Version; }
  /// The document that the operator sent with version().
  const std::string &document() const { return m_Document; }
  /// The operators' policy for \p Group, or null.
  const GroupPolicy *policy(const GroupId &Group) const;
  const WorkspaceTable &workspaces() const { return m_Workspaces; }
  /// The entry \p Name, or null.
  const CatalogueItem *find(const EntryName &Name) const;
  /// Calls \p Visit for each entry by name.
  void
  forEachEntry(const std::function<void(const CatalogueItem &)> &Visit) const;
  /// Calls \p Visit for each stored change of \p Name, oldest first.
  void forEachChange(
      const EntryName &Name,
      const std::function<void(const CatalogueChange &)> &Visit) const;
  /// Returns all changes after revision \p From. Returns the whole catalogue if
  /// \p From is 0 or if deletions since then are no longer stored.
  CatalogueDelta deltaSince(Revision From) const;

  /// Returns why \p Entry is not valid; empty if it is.
  static std::string validate(const CatalogueEntry &Entry);

private:
  std::optional<ControlResult> checkChange(const CatalogueChange &Change) const;
  std::optional<ControlResult> checkRevision(const EntryName &Name,
                                             Revision Expected) const;
  ControlResult record(CatalogueChange Change);
  void pruneHistory(const EntryName &Name);
  void pruneDeletions();
  ControlResult recordWorkspaceChange(ControlResult Result, Revision Next);
  void removeUnlisted(const std::vector<CatalogueEntry> &Listed);

  Settings m_Settings;                        ///< The bounds.
  Revision m_Revision;                        ///< Revision of the last change.
  std::map<EntryName, CatalogueItem> m_Items; ///< The entries.
  std::map<EntryName, std::deque<CatalogueChange>>
      m_History; ///< Latest changes of each name, oldest first.
  std::deque<CatalogueChange>
      m_RecentChanges; ///< Latest changes, to recognise resends by their ids.
  std::deque<CatalogueDeletion>
      m_Deletions;               ///< Stored deletions, oldest first.
  Revision m_LastPrunedDeletion; ///< Revision of the latest deletion that is no
                                 ///< longer stored.
  CatalogueVersion m_Version;    ///< See version().
  std::string m_Document;        ///< See document().
  std::vector<GroupPolicy> m_Groups; ///< Policies of groups.
  WorkspaceTable m_Workspaces;       ///< The workspaces.
};

} // namespace ragwortmux

#endif // RAGWORTMUX_VERSION_CATALOGUE_H
